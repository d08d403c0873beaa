#pragma once

#include "lacewingmux_core/metrics/WorkCounter.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_scheduling/queue/WorkItem.h"
#include "lacewingmux_scheduling/queue/WorkQueueSettings.h"

#include <QHash>
#include <QString>

#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace lacewingmux {

/**
    Decides which waiting call runs next. One queue serves the calls of one pool of replicas.

    Teams are scheduled by start-time fair queueing: each team has a virtual time that grows by the
    cost of its served calls divided by its weight, and the team with the lowest virtual time goes
    next. A team that was idle starts at the queue's virtual time, so it accumulates no credit
    while idle. Within a team the call whose root program has attained the least service goes
    first, because the lengths of programs are unknown and most are short. Each second of waiting
    offsets WorkQueueSettings::ageingTokensPerSecond of attained service, so a long program is
    overtaken for a bounded time only. All items age at the same rate, so their order never changes
    while they wait, and each operation takes time logarithmic in the number of items and teams.

    The queue reads no clock; arrival times are passed in.
*/
class WorkQueue
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit WorkQueue(const WorkQueueSettings &queueSettings = {});
    WorkQueue(const WorkQueue &) = delete;
    WorkQueue &operator=(const WorkQueue &) = delete;

    /** Adds an item that has waited since the given time. Throws std::invalid_argument if an item
        with the same id is queued or the weight is not greater than 0. */
    void push(const WorkItem &item, SteadyTime enqueuedAt);

    /** Returns the item that should run next, or null if the queue is empty. The pointer is valid
        until the queue changes. */
    [[nodiscard]] const WorkItem *next() const;

    /** Removes the item in order to run it and charges its expectedTokens to its team. Returns
        whether the item was queued. */
    bool take(std::uint64_t id);

    /** Removes an item that will not run here because it was cancelled, expired or moved. Charges
        nothing. Returns whether the item was queued. */
    bool remove(std::uint64_t id);

    /** Corrects the charge for a taken item once its actual cost is known. */
    void settle(const WorkItem &taken, std::int64_t actualTokens);

    /** Returns the number of queued items of all teams. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->entries.size();
    }

    /** Returns the number of queued items of the team. */
    [[nodiscard]] std::size_t teamSize(const QString &team) const;

    /** Returns the fraction of the pool, greater than 0 and at most 1, that the team receives as
        long as the set of waiting teams does not change. A team without queued items is counted
        as waiting with the given weight. */
    [[nodiscard]] double teamShare(const QString &team, double weight) const;

    /** Returns the engine priority for a call of the team; lower values go first. Query it after
        the call was taken. A team that still has queued calls uses its full share, so its calls
        get a lower priority than those of teams that use less. */
    [[nodiscard]] int enginePriority(const QString &team) const;

private:
    /** Sort key of an item within its team; lower goes first. */
    struct Rank
    {
        double virtualAttained = 0; ///< attained tokens plus the ageing offset of the arrival time
        std::uint64_t arrival = 0;
        std::uint64_t id = 0;
        friend bool operator<(const Rank &left, const Rank &right)
        {
            WorkCounter::note();
            return std::tie(left.virtualAttained, left.arrival)
                   < std::tie(right.virtualAttained, right.arrival);
        }
    };
    using TeamRank = std::pair<double, QString>; ///< virtual time and team name
    struct TeamOrder
    {
        bool operator()(const TeamRank &left, const TeamRank &right) const
        {
            WorkCounter::note();
            return left < right;
        }
    };
    struct Team
    {
        double virtualTime = 0;
        double weight = 1;
        std::set<Rank> waiting;
    };
    struct Entry
    {
        WorkItem item;
        Rank rank;
    };
    using Teams = std::unordered_map<QString, Team>;

    [[nodiscard]] QString teamKey(const WorkItem &item) const;
    [[nodiscard]] Rank rankOf(const WorkItem &item, SteadyTime enqueuedAt);
    void activate(const QString &key, Team &team, double weight);
    void advance(const QString &key, Team &team, double tokens);
    void detach(const QString &key, const Entry &entry);

    WorkQueueSettings settings;
    Teams teams;
    std::set<TeamRank, TeamOrder> waitingTeams; ///< by virtual time
    std::unordered_map<std::uint64_t, Entry> entries;
    double queueVirtualTime = 0;
    double waitingWeight = 0; ///< sum over the waiting teams
    std::uint64_t arrivals = 0;
};

} // namespace lacewingmux

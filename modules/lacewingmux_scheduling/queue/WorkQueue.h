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

    Between teams it is start-time fair queueing: each team has a virtual time that grows by the
    cost of what it was served, divided by its weight, and the team with the lowest goes next. A
    team that was idle starts at the queue's virtual time, so it saves up no claim. Within a team
    the call goes first whose root program has attained the least service, because the lengths of
    programs are unknown and most are short. Each second of waiting makes up for
    WorkQueueSettings::ageingTokensPerSecond of attained service, so a long program is overtaken
    for a bounded time only. As all items age at the same rate their order never changes while
    they wait, and each operation costs the logarithm of the items and teams.

    Pure: it reads no clock.
*/
class WorkQueue
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit WorkQueue(const WorkQueueSettings &queueSettings = {});
    WorkQueue(const WorkQueue &) = delete;
    WorkQueue &operator=(const WorkQueue &) = delete;

    /** Adds an item that has waited since the given time. Throws std::invalid_argument when its id
        waits already or its weight isn't above 0. */
    void push(const WorkItem &item, SteadyTime enqueuedAt);

    /** Returns the item that should run next, or null. Valid until the next change. */
    [[nodiscard]] const WorkItem *next() const;

    /** Takes the item out to be run and charges its team with expectedTokens. Returns whether it
        was waiting. */
    bool take(std::uint64_t id);

    /** Takes the item out because it will not run here: cancelled, expired or moved. */
    bool remove(std::uint64_t id);

    /** Corrects the charge of a taken item once its actual cost is known. */
    void settle(const WorkItem &taken, std::int64_t actualTokens);

    /** Returns how many items wait, of all teams. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->entries.size();
    }

    /** Returns how many items of the team wait. */
    [[nodiscard]] std::size_t teamSize(const QString &team) const;

    /** Returns the part of the pool, above 0 up to 1, that the team gets while the teams that wait
        now go on waiting; the team itself counts as waiting, with the weight. */
    [[nodiscard]] double teamShare(const QString &team, double weight) const;

    /** Returns the priority that a call of the team should have at the engine, to be asked after it
        was taken: lower goes first. A team with calls left waiting uses its share in full, so its
        calls yield to those of teams that use less. */
    [[nodiscard]] int enginePriority(const QString &team) const;

private:
    /** Place of an item within its team; lower goes first. */
    struct Rank
    {
        double virtualAttained = 0; ///< attained tokens plus ageing of the time of arrival
        std::uint64_t arrival = 0;
        std::uint64_t id = 0;
        friend bool operator<(const Rank &left, const Rank &right)
        {
            WorkCounter::note();
            return std::tie(left.virtualAttained, left.arrival)
                   < std::tie(right.virtualAttained, right.arrival);
        }
    };
    using TeamRank = std::pair<double, QString>; ///< virtual time and name
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

    [[nodiscard]] QString fairnessKey(const WorkItem &item) const;
    [[nodiscard]] Rank rankOf(const WorkItem &item, SteadyTime enqueuedAt);
    void activate(const QString &key, Team &team, double weight);
    void advance(const QString &key, Team &team, double tokens);
    void detach(const QString &key, const Entry &entry);

    WorkQueueSettings settings;
    Teams teams;
    std::set<TeamRank, TeamOrder> waitingTeams; ///< by virtual time
    std::unordered_map<std::uint64_t, Entry> entries;
    double queueVirtualTime = 0;
    double waitingWeight = 0; ///< sum over the teams that wait
    std::uint64_t arrivals = 0;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/configuration/ConfigurationRelay.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_records/quota/QuotaPlacement.h"
#include "lacewingmux_records/quota/QuotaTokenCache.h"

#include <QByteArray>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace lacewingmux {

/**
    Admits requests with tokens granted by the records VMs that hold parts of the team's rate. The
   one in the same zone is asked first, the others if it has no tokens left, and those next in rank
   if it does not hold its part any more. A request waits a short time for the next token; a request
    that would wait longer is refused at once.
*/
class FleetQuota final : public TeamQuota
{
public:
    /** The hook receives versions of the configuration that a records VM has and this VM lacks. */
    FleetQuota(PeerHub &peerHub, TimerService &timerService,
               std::function<void(const ConfigurationDocumentMessage &)> newerConfigurationHook);
    ~FleetQuota() override;

    void take(const QuotaRequest &request, Callback callback) override;
    void refund(const QuotaRequest &request) override;

    /** Adopts a view of the records VMs, unless it is older than the current one. */
    void setView(const RecordsView &newView);

    /** Sets the configuration in force, which is passed on to records VMs without it. */
    void setConfiguration(const ConfigurationDocumentMessage &newest);

private:
    /** Waiting requests with equal keys are served in order. */
    struct QueueKey
    {
        QByteArray team;
        double reserve = 0;
        bool mayWait = true;

        friend bool operator<(const QueueKey &left, const QueueKey &right) noexcept
        {
            return std::tie(left.team, left.reserve, left.mayWait)
                   < std::tie(right.team, right.reserve, right.mayWait);
        }
    };

    struct Waiting
    {
        Callback callback;
        TimerService::SteadyTime since;
    };

    /** Waiting requests of one team that leave the same reserve of its burst. */
    struct Queue
    {
        QuotaRequest request;
        QuotaTokenCache tokenCache;
        std::deque<Waiting> waiting;
        bool isRequesting = false;
        std::set<VmIncarnation> askedMembers; ///< those that replied or were late in this round
        int holdersAsked = 0;                 ///< how many of them hold a part of the team's rate
        int contenders = 1;                   ///< entry VMs that wait for this team's tokens
        std::optional<std::chrono::milliseconds> shortestRetryAfter; ///< of this round's holders
        TimerService::SteadyTime nextTokenAt; ///< when to repeat an unsuccessful round
        TimerService::SteadyTime lastUsed;
        TimerSubscription retryTimer;
    };

    /** A request to a records VM that has not been answered yet. */
    struct PendingRequest
    {
        QueueKey key;
        VmIncarnation member;
        TimerService::SteadyTime sentAt;
        bool timedOut = false; ///< another records VM is asked, but the tokens can still be used
    };

    void requestTokens(Queue &queue);
    void expireLateRequests(TimerService::SteadyTime now);
    void handleReply(const VmIncarnation &peer, const PeerFrame &frame);
    void serveWaiting(Queue &queue);
    void endRound(const QueueKey &key, Queue &queue);
    void refuseBeyond(Queue &queue, std::size_t maximumWaiting,
                      std::chrono::milliseconds retryAfter);
    /** Refuses the requests that would have waited too long when the next token comes. */
    void refuseImpatient(Queue &queue, std::chrono::milliseconds nextTokenIn);
    [[nodiscard]] static QueueKey keyOf(const QuotaRequest &request);
    [[nodiscard]] static std::chrono::milliseconds maximumWait(const Queue &queue);
    [[nodiscard]] static std::chrono::milliseconds timePerToken(const Queue &queue);
    static void beginRound(Queue &queue);
    /** Returns the first candidate that was not asked in this round; the end if there is none. */
    [[nodiscard]] static std::vector<VmIncarnation>::const_iterator
    nextSource(const Queue &queue, const std::vector<VmIncarnation> &candidates);
    [[nodiscard]] bool hasAskedAll(const Queue &queue) const;
    void checkQueues();
    /** Returns whether no records VM can be expected to answer a request for the team's tokens. */
    [[nodiscard]] bool isWithoutRecords(const GatewayTeam &team) const;
    void removeUnusedQueues(TimerService::SteadyTime now);
    /** Returns the connected records VMs to ask for the team's tokens: those that should hold its
        parts, the one of the same zone first, and some successors. */
    [[nodiscard]] std::vector<VmIncarnation> sources(const GatewayTeam &team) const;

    PeerHub &hub;
    TimerService &timers;
    RecordsView view;
    std::vector<QuotaPlacement> placements; ///< by group
    ConfigurationRelay configuration;
    std::map<QueueKey, Queue> queues;
    std::uint64_t nextCorrelation = 1;
    std::map<std::uint64_t, PendingRequest> unanswered; ///< by correlation
    /** Records VMs that let a request time out and have not replied since. */
    std::set<VmIncarnation> lateMembers;
    TimerService::SteadyTime lastReply;           ///< of any records VM
    TimerService::SteadyTime withoutRecordsUntil; ///< when a records VM is asked again
    TimerSubscription timer;
};

} // namespace lacewingmux

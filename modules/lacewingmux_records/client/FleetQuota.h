#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/configuration/ConfigurationRelay.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_records/quota/QuotaTokenCache.h"

#include <QByteArray>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace lacewingmux {

/**
    Admits requests with tokens granted by the records VMs. The records VM in the same zone is asked
    first, the others if it has no tokens left. A request waits a short time for the next token; a
    request that would wait longer is refused at once.
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
    using QueueKey = std::pair<QByteArray, double>; ///< team and reserve

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
        std::size_t sourcesAsked = 0; ///< number of sources() already asked in this round
        std::chrono::milliseconds shortestRetryAfter{0}; ///< of the sources asked in this round
        TimerService::SteadyTime nextTokenAt;            ///< when to repeat an unsuccessful round
        TimerSubscription retryTimer;
    };

    /** A request to a records VM that has not been answered yet. */
    struct PendingRequest
    {
        QueueKey key;
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
    [[nodiscard]] static std::chrono::milliseconds maximumWait(const Queue &queue);
    [[nodiscard]] std::chrono::milliseconds timePerToken(const Queue &queue) const;
    void checkQueues();
    /** Returns the connected records VMs to ask for tokens, those of the same zone first. */
    [[nodiscard]] std::vector<VmIncarnation> sources() const;

    PeerHub &hub;
    TimerService &timers;
    RecordsView view;
    ConfigurationRelay configuration;
    std::map<QueueKey, Queue> queues;
    int entryVms = 1; ///< number sharing the teams' rates, as last reported
    std::uint64_t nextCorrelation = 1;
    std::map<std::uint64_t, PendingRequest> unanswered; ///< by correlation
    TimerSubscription timer;
};

} // namespace lacewingmux

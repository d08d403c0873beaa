#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/configuration/ConfigurationRelay.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_records/quota/QuotaPocket.h"

#include <QByteArray>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace lacewingmux {

/**
    Admits requests with tokens that the records VMs hand out: the one in the own zone first, and
    the others when it has none left. A request waits a little for a token that is about to come;
    one that would wait longer is refused at once.
*/
class FleetQuota final : public TeamQuota
{
public:
    /** The hook gets a version of the configuration that a records VM has and this VM lacks. */
    FleetQuota(PeerHub &peerHub, TimerService &timerService,
               std::function<void(const ConfigurationDocumentMessage &)> newerConfigurationHook);
    ~FleetQuota() override;

    void take(const QuotaRequest &request, Callback callback) override;
    void refund(const QuotaRequest &request) override;

    /** Takes a view of the records VMs. */
    void setView(const RecordsView &newView);

    /** Takes the configuration in force, to pass on to records VMs that lack it. */
    void setConfiguration(const ConfigurationDocumentMessage &newest);

private:
    using QueueKey = std::pair<QByteArray, double>; ///< team and reserve

    struct Waiting
    {
        Callback callback;
        TimerService::SteadyTime since;
    };

    /** Requests of one team that leave the same part of its burst. */
    struct Queue
    {
        QuotaRequest request;
        QuotaPocket pocket;
        std::deque<Waiting> waiting;
        bool asking = false;
        std::size_t asked = 0; ///< sources that were asked in this round, in order of preference
        std::chrono::milliseconds shortestWait{0}; ///< until a source of this round has a token
        TimerService::SteadyTime nextToken;        ///< when a round in vain is to be repeated
        TimerSubscription repeat;
    };

    /** A question to a records VM that has not been answered yet. */
    struct Question
    {
        QueueKey key;
        TimerService::SteadyTime askedAt;
        bool givenUp = false; ///< another records VM is asked; its tokens are still of use
    };

    void ask(Queue &queue);
    void giveUpLateQuestions(TimerService::SteadyTime now);
    void handleReply(const VmIncarnation &peer, const PeerFrame &frame);
    void serveWaiting(Queue &queue);
    void endRound(const QueueKey &key, Queue &queue);
    void refuseBeyond(Queue &queue, std::size_t kept, std::chrono::milliseconds retryAfter);
    [[nodiscard]] static std::chrono::milliseconds longestWait(const Queue &queue);
    [[nodiscard]] std::chrono::milliseconds timePerToken(const Queue &queue) const;
    void tick();
    [[nodiscard]] std::vector<VmIncarnation> sources() const;

    PeerHub &hub;
    TimerService &timers;
    RecordsView view;
    ConfigurationRelay configuration;
    std::map<QueueKey, Queue> queues;
    int entryVms = 1; ///< that share the teams' rates, as a records VM told last
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, Question> unanswered; ///< by number
    TimerSubscription timer;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_records/quota/QuotaPocket.h"

#include <QByteArray>
#include <QHash>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace lacewingmux {

/**
    Admits requests with tokens that the records VMs hand out: the one in the own zone first, and
    the others when it has none left.
*/
class FleetQuota final : public TeamQuota
{
public:
    /** The hook gets a version of the configuration that a records VM has and this VM lacks. */
    FleetQuota(PeerHub &peerHub, TimerService &timerService,
               std::function<void(const ConfigurationDocumentMessage &)> newerConfigurationHook);
    ~FleetQuota() override;

    void take(const GatewayTeam &team, Callback callback) override;

    /** Takes a view of the records VMs. */
    void setView(const RecordsView &newView);

    /** Takes the configuration in force, to pass on to records VMs that lack it. */
    void setConfiguration(const ConfigurationDocumentMessage &newest);

private:
    struct Waiting
    {
        Callback callback;
        TimerService::SteadyTime since;
    };

    struct Team
    {
        GatewayTeam limits;
        QuotaPocket pocket;
        std::deque<Waiting> waiting;
        int sourceIndex = 0; ///< which of the sources is asked, in the order of preference
        bool asking = false;
        TimerService::SteadyTime exhaustedUntil; ///< no records VM has a token before
        std::chrono::milliseconds shortestWait{0};
    };

    void ask(Team &team);
    void handleReply(const VmIncarnation &peer, const PeerFrame &frame);
    void serveWaiting(Team &team);
    void refuseWaiting(Team &team, std::chrono::milliseconds retryAfter);
    void tick();
    [[nodiscard]] std::vector<VmIncarnation> sources() const;

    PeerHub &hub;
    TimerService &timers;
    std::function<void(const ConfigurationDocumentMessage &)> newerConfiguration;
    RecordsView view;
    ConfigurationDocumentMessage configuration;
    QHash<QByteArray, Team> teams;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, std::pair<QByteArray, TimerService::SteadyTime>> asked; ///< by number
    TimerSubscription timer;
};

} // namespace lacewingmux

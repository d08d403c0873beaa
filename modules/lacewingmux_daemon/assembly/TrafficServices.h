#pragma once

#include "lacewingmux_allowance/admission/TeamAdmission.h"
#include "lacewingmux_allowance/admission/ZonePowerBudget.h"
#include "lacewingmux_allowance/owner/AllowanceOwner.h"
#include "lacewingmux_backend/dispatch/QuarantineNoticeExchange.h"
#include "lacewingmux_backend/dispatch/ReplicaDispatcher.h"
#include "lacewingmux_backend/orders/OrderLeaseExchange.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_daemon/assembly/DrainingOwner.h"
#include "lacewingmux_daemon/assembly/TrafficStatus.h"
#include "lacewingmux_http/forward/ForwardReceiver.h"
#include "lacewingmux_http/forward/OwnerForwarder.h"
#include "lacewingmux_http/front/OperatorReply.h"
#include "lacewingmux_http/front/RequestFront.h"
#include "lacewingmux_http/front/SentRequests.h"
#include "lacewingmux_http/server/CallerServer.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_program/owner/ProgramOwner.h"
#include "lacewingmux_report/burn/BurnRecorder.h"
#include "lacewingmux_zone/replication/ReplicatedJournal.h"

#include <functional>
#include <memory>

namespace lacewingmux {

class CallerAuthority;
class HistogramMetrics;
struct DaemonSettings;
struct ViewSnapshot;

/** What the traffic thread tells the control thread; called on the traffic thread. */
struct TrafficHooks
{
    std::function<void(std::uint64_t epoch)> newerEpochSeen; ///< a peer has adopted that epoch
    std::function<void(std::uint64_t epoch)> settled;        ///< all slots are active in that epoch
};

/**
    Everything that lives on the traffic thread: the traffic links, the journal, the owners of
    programs and allowances, dispatching, and the callers' HTTP server.

    Made and destroyed on that thread. The control thread hands in immutable snapshots.
*/
class TrafficServices
{
public:
    TrafficServices(const DaemonSettings &settings, const VmDescriptor &self,
                    const PeerHubSettings &hubSettings, HistogramMetrics &sharedMetrics,
                    const TrafficHooks &hooks);
    ~TrafficServices();
    TrafficServices(const TrafficServices &) = delete;
    TrafficServices &operator=(const TrafficServices &) = delete;

    /** Takes the configuration in force. */
    void adoptConfiguration(const std::shared_ptr<const Configuration> &configuration);

    /** Takes newer views. */
    void adoptViews(const ViewSnapshot &views);

    /** Takes what decides about presented keys from now on. */
    void adoptAuthority(std::shared_ptr<const CallerAuthority> newAuthority);

    /** Ends what came with keys that have been withdrawn, also on open connections. */
    void withdrawKeys(const std::vector<QString> &keyIds);

    /** Takes the replicas of this zone that exist now. */
    void adoptReplicas(const std::shared_ptr<const ReplicaSet> &replicas);

    /** Makes /readyz answer that this VM is not ready, and lets each connection end with its next
        answer; new ones are still accepted. */
    void becomeUnready();

    /** Accepts no more connections. */
    void refuseConnections();

    /** Sends new work for this VM's owner away; what runs goes on. */
    void refuseNewWork();

    /** Asks the owner of a program on behalf of an operator, on whichever VM it is. */
    void askOwner(OwnerRequest request, const OperatorReply &reply);

    [[nodiscard]] TrafficStatus status() const;

    [[nodiscard]] AllowanceOwner &allowanceOwner() noexcept
    {
        return this->allowances;
    }

    /** Returns the requests counted for the report on service levels. */
    [[nodiscard]] QJsonArray burnCounts() const;

private:
    [[nodiscard]] FrontHooks frontHooks();
    [[nodiscard]] AuthenticationResult authenticate(const QByteArray &presentedKey) const;
    [[nodiscard]] bool isReady() const;

    HistogramMetrics &metrics;
    VmDescriptor descriptor;
    QtTimerService timers;
    TcpPeerHub hub;
    ReplicatedJournal journal;
    AllowanceOwner allowances;
    TeamAdmission admission;
    ZonePowerBudget power;
    ReplicaDispatcher dispatcher;
    QuarantineNoticeExchange quarantineNotices;
    OrderLeaseExchange orderLeaseExchange;
    ProgramOwner programs;
    DrainingOwner owner;
    SentRequests sent;
    OwnerForwarder forwarder;
    ForwardReceiver receiver;
    BurnRecorder burn;
    RequestFront front;
    CallerServer server;
    std::shared_ptr<const CallerAuthority> authority;
    bool configured = false;
    bool memberOfView = false;
    bool settledOnce = false;
    bool accepting = true;
};

} // namespace lacewingmux

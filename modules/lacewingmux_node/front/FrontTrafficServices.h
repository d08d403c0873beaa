#pragma once

#include "lacewingmux_core/time/EventLoopMonitor.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"
#include "lacewingmux_node/front/RecordsReachability.h"
#include "lacewingmux_node/settings/NodeSettings.h"
#include "lacewingmux_peer/messages/FrameKind.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_tunnel/client/TunnelEndpoint.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

class FleetQuota;
struct CrashCoincidence;
class Gateway;
class MetricsRecorder;
class RecordsClient;
class RelayClient;
class RecordsView;
class RoutingTable;
class TcpPeerHub;
struct CallDialect;
struct RelayContact;
struct RelayUpdate;

/** The services of an entry VM that run on its traffic thread. */
class FrontTrafficServices
{
public:
    /** Notifications for the control thread; called on the traffic thread. */
    struct Hooks
    {
        std::function<void(const QByteArray &document)> newerView;
        std::function<void(const ConfigurationDocumentMessage &)> newerConfiguration;
        std::function<void()> drained;
        /** Called with whether enough records VMs are reachable, and not silent, to open and store
            turns. */
        std::function<void(bool)> recordsReachable;
        /** Called with each update of the store's contents from a relay. */
        std::function<void(const RelayUpdate &)> relayUpdate;
        /** Called when relays begin or cease to serve this VM, or know more of the store. */
        std::function<void(const RelayContact &)> relayContact;
    };

    FrontTrafficServices(const NodeSettings &settings, const CallDialect &dialect,
                         MetricsRecorder &metrics, Hooks trafficHooks);
    ~FrontTrafficServices();
    FrontTrafficServices(const FrontTrafficServices &) = delete;
    FrontTrafficServices &operator=(const FrontTrafficServices &) = delete;

    /** Applies a configuration to calls that arrive from now on. */
    void setConfiguration(const std::shared_ptr<const RoutingTable> &table,
                          const ConfigurationDocumentMessage &document);

    /** Sets the replicas that exist now. */
    void setReplicas(const std::vector<ReplicaInstance> &replicas);

    /** Sets the zones whose replicas get no calls, at the operators' request. */
    void setEvacuatedZones(const std::set<QByteArray> &zones);

    /** Sets the view of the records VMs. */
    void setView(const RecordsView &view);

    /** Starts a planned stop. */
    void beginStop();

private:
    void updateRecordsReachable();
    /** Returns the records VMs, which open tunnels to replicas. */
    [[nodiscard]] std::vector<TunnelEndpoint> tunnelEndpointsOf(const RecordsView &view) const;
    /** Notifies the other entry VMs that a replica crashed while it ran a request's content. */
    void sendCrashNotice(FrameKind kind, const CrashCoincidence &coincidence);

    QtTimerService timers;
    EventLoopMonitor monitor;
    Hooks hooks;
    std::uint16_t tunnelPort;
    bool detectsSilence; ///< whether silent records VMs make this VM not ready
    std::unique_ptr<TcpPeerHub> hub;
    std::unique_ptr<RecordsClient> records;
    std::unique_ptr<FleetQuota> quota;
    std::unique_ptr<RelayClient> relays;
    std::unique_ptr<Gateway> gateway;
    RecordsReachability reachability;
    RecordsReachability::State recordsState; ///< as last reported
    TimerSubscription recordsCheckTimer;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"
#include "lacewingmux_node/settings/NodeSettings.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>

#include <functional>
#include <memory>
#include <vector>

namespace lacewingmux {

class FleetQuota;
struct CrashCoincidence;
class Gateway;
class MetricsRecorder;
class RecordsClient;
class RecordsView;
class RoutingTable;
class TcpPeerHub;
struct CallDialect;

/** Everything of an entry VM that lives on its traffic thread. */
class FrontTraffic
{
public:
    /** What the traffic thread tells the control thread; called on the traffic thread. */
    struct Hooks
    {
        std::function<void(const QByteArray &document)> newerView;
        std::function<void(const ConfigurationDocumentMessage &)> newerConfiguration;
        std::function<void()> drained;
        std::function<void(bool)> recordsReachable; ///< whether turns can be opened and kept
    };

    FrontTraffic(const NodeSettings &settings, const CallDialect &dialect, MetricsRecorder &metrics,
                 Hooks trafficHooks);
    ~FrontTraffic();
    FrontTraffic(const FrontTraffic &) = delete;
    FrontTraffic &operator=(const FrontTraffic &) = delete;

    /** Takes a configuration into force. */
    void setConfiguration(const std::shared_ptr<const RoutingTable> &table,
                          const ConfigurationDocumentMessage &document);

    /** Takes the replicas that exist now. */
    void setReplicas(const std::vector<ReplicaInstance> &replicas);

    /** Takes a view of the records VMs. */
    void setView(const RecordsView &view);

    /** Starts a planned stop. */
    void beginStop();

private:
    void checkRecords();
    void tellCrash(const CrashCoincidence &coincidence);

    QtTimerService timers;
    Hooks hooks;
    std::unique_ptr<TcpPeerHub> hub;
    std::unique_ptr<RecordsClient> records;
    std::unique_ptr<FleetQuota> quota;
    std::unique_ptr<Gateway> gateway;
    bool reachable = false;
    TimerService::SteadyTime lastReachable;
    TimerSubscription reachableCheck;
};

} // namespace lacewingmux

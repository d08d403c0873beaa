#pragma once

#include "lacewingmux_core/threads/ServiceThread.h"
#include "lacewingmux_core/threads/ThreadQueue.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_node/records/RecordsTrafficServices.h"
#include "lacewingmux_node/settings/NodeSettings.h"
#include "lacewingmux_node/settings/PlatformAdapter.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_relay/store/RelayDuty.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <memory>

namespace lacewingmux {

class HistogramMetrics;
class MetricsServer;
class RecordsMembership;
class RelayedStore;

/**
    The node that runs on a records VM. Its control thread maintains this VM's membership in the
    view of the records VMs, follows the configuration in order to pass it on to VMs that cannot
    reach the store, and retires the VM at the operators' request, once the other members have
    copied its records. While other VMs subscribe to this one, it watches the store for them;
    otherwise it is itself a subscriber of such a VM.
*/
class RecordsNode
{
public:
    /** Starts the node. The hook is called when a planned stop has completed. */
    RecordsNode(const NodeSettings &nodeSettings, PlatformAdapter platformAdapter,
                std::function<void()> stoppedHook);
    ~RecordsNode();
    RecordsNode(const RecordsNode &) = delete;
    RecordsNode &operator=(const RecordsNode &) = delete;

    /** Starts a planned stop: ends once the tunnels of other VMs have. Every acknowledged record is
        on disk, so nothing else has to be waited for. */
    void beginStop();

private:
    void startTraffic();
    void connectStore();
    void connectRelays(RecordsTrafficServices::Hooks &hooks);
    void sendContents(const VmIncarnation &subscriber);
    void handleStoreContact(bool reachable);
    void reportContact();
    /** Selects where the contents of the store come from, and what is watched for others. */
    void updateSource();
    /** Watches what only subscribers need, or ends these watches. */
    void watchForSubscribers();
    void applyConfiguration(const QByteArray &document);
    void beginRetirement();
    void finishRetirement();
    void writeRetirementStatus(const QByteArray &document);

    NodeSettings settings;
    PlatformAdapter platform;
    std::function<void()> stopped;
    QtTimerService timers;
    ThreadQueue queue; ///< runs functions from the traffic thread on the control thread
    std::unique_ptr<HistogramMetrics> metrics;
    VmDescriptor self;
    bool diskWasEmpty = false;
    std::unique_ptr<RelayedStore> store;
    std::unique_ptr<RecordsMembership> membership;
    std::unique_ptr<ServiceThread<RecordsTrafficServices>> traffic;
    std::unique_ptr<PlatformStore::Watch> configurationWatch;
    std::unique_ptr<PlatformStore::Watch> retirementWatch;
    std::unique_ptr<PlatformStore::Watch> replicaWatch; ///< for subscribers only
    /** For subscribers only; null if the deployment does not evacuate zones. */
    std::unique_ptr<PlatformStore::Watch> evacuationWatch;
    std::unique_ptr<MetricsServer> metricsServer;
    std::uint64_t configurationVersion = 0;
    bool retiring = false;
    bool stopping = false;
    bool storeReachable = true;
    bool usesStore = true;
    RelayDuty duty;
    TimerSubscription contactTimer;
    TimerSubscription statusRetryTimer;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/threads/ServiceThread.h"
#include "lacewingmux_core/threads/ThreadQueue.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_node/settings/NodeSeams.h"
#include "lacewingmux_node/settings/NodeSettings.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>

#include <functional>
#include <memory>

namespace lacewingmux {

class FrontTraffic;
class HistogramMetrics;
class MetricsServer;
class ReadinessServer;
class RecordsView;
class ReplicaDirectory;

/**
    The node of an entry VM. Its control thread follows the configuration, the replicas and the
    records VMs in the platform's store, and hands what it learns to the traffic thread.
*/
class FrontNode
{
public:
    /** Starts; the hook is called when a planned stop is over. */
    FrontNode(const NodeSettings &nodeSettings, NodeSeams nodeSeams,
              std::function<void()> stoppedHook);
    ~FrontNode();
    FrontNode(const FrontNode &) = delete;
    FrontNode &operator=(const FrontNode &) = delete;

    /** Starts a planned stop. */
    void beginStop();

private:
    void followStore();
    void takeConfiguration(const QByteArray &document);
    void takeReplica(const StoreRecord &record);
    void takeView(const QByteArray &document);
    [[nodiscard]] bool isReady() const;

    NodeSettings settings;
    NodeSeams seams;
    std::function<void()> stopped;
    QtTimerService timers;
    ThreadQueue queue; ///< of the control thread, for the traffic thread
    std::unique_ptr<HistogramMetrics> metrics;
    std::unique_ptr<PlatformStore> store;
    std::unique_ptr<ReplicaDirectory> replicas;
    std::unique_ptr<ServiceThread<FrontTraffic>> traffic;
    std::unique_ptr<PlatformStore::Watch> configurationWatch;
    std::unique_ptr<PlatformStore::Watch> replicaWatch;
    std::unique_ptr<PlatformStore::Watch> viewWatch;
    std::unique_ptr<ReadinessServer> readiness;
    std::unique_ptr<MetricsServer> metricsServer;
    std::uint64_t configurationVersion = 0;
    std::uint64_t viewNumber = 0;
    bool replicasKnown = false;
    bool recordsReachable = false;
    bool stopping = false;
};

} // namespace lacewingmux

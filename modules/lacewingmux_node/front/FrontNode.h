#pragma once

#include "lacewingmux_core/threads/ServiceThread.h"
#include "lacewingmux_core/threads/ThreadQueue.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_node/settings/NodeSettings.h"
#include "lacewingmux_node/settings/PlatformAdapter.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <memory>

namespace lacewingmux {

class FrontTrafficServices;
class HistogramMetrics;
class MetricsServer;
class ReadinessServer;
class RecordsView;
class StoreFollower;

/**
    The node that runs on an entry VM. Its control thread follows the configuration, the replica
    entries and the view of the records VMs in the platform's store, and passes changes to the
    traffic thread.
*/
class FrontNode
{
public:
    /** Starts the node. The hook is called when a planned stop has completed. */
    FrontNode(const NodeSettings &nodeSettings, PlatformAdapter platformAdapter,
              std::function<void()> stoppedHook);
    ~FrontNode();
    FrontNode(const FrontNode &) = delete;
    FrontNode &operator=(const FrontNode &) = delete;

    /** Starts a planned stop. */
    void beginStop();

private:
    void connectStore();
    void applyConfiguration(const QByteArray &document);
    void applyView(const QByteArray &document);
    [[nodiscard]] bool isReady() const;

    NodeSettings settings;
    PlatformAdapter platform;
    std::function<void()> stopped;
    QtTimerService timers;
    ThreadQueue queue; ///< runs functions from the traffic thread on the control thread
    std::unique_ptr<HistogramMetrics> metrics;
    std::unique_ptr<StoreFollower> follower;
    std::unique_ptr<ServiceThread<FrontTrafficServices>> traffic;
    std::unique_ptr<ReadinessServer> readiness;
    std::unique_ptr<MetricsServer> metricsServer;
    std::uint64_t configurationVersion = 0;
    std::uint64_t viewNumber = 0;
    bool replicasKnown = false;
    bool recordsReachable = false;
    bool stopping = false;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/threads/ServiceThread.h"
#include "lacewingmux_core/threads/ThreadQueue.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_node/settings/NodeSeams.h"
#include "lacewingmux_node/settings/NodeSettings.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"

#include <QByteArray>

#include <cstdint>
#include <memory>

namespace lacewingmux {

class HistogramMetrics;
class MetricsServer;
class RecordsMembership;
class RecordsTraffic;

/**
    The node of a records VM. Its control thread takes part in the view of the records VMs,
    follows the configuration for VMs that are cut off from the store, and empties the VM when the
    operators ask for it.
*/
class RecordsNode
{
public:
    RecordsNode(const NodeSettings &nodeSettings, NodeSeams nodeSeams);
    ~RecordsNode();
    RecordsNode(const RecordsNode &) = delete;
    RecordsNode &operator=(const RecordsNode &) = delete;

private:
    void startTraffic();
    void followStore();
    void takeConfiguration(const QByteArray &document);
    void beginRetirement();
    void finishRetirement();
    void writeRetirementStatus(const QByteArray &document);

    NodeSettings settings;
    NodeSeams seams;
    QtTimerService timers;
    ThreadQueue queue; ///< of the control thread, for the traffic thread
    std::unique_ptr<HistogramMetrics> metrics;
    VmDescriptor self;
    bool emptyDisk = false;
    std::unique_ptr<PlatformStore> store;
    std::unique_ptr<RecordsMembership> membership;
    std::unique_ptr<ServiceThread<RecordsTraffic>> traffic;
    std::unique_ptr<PlatformStore::Watch> configurationWatch;
    std::unique_ptr<PlatformStore::Watch> retirementWatch;
    std::unique_ptr<MetricsServer> metricsServer;
    std::uint64_t configurationVersion = 0;
    bool retiring = false;
    TimerSubscription retry;
};

} // namespace lacewingmux

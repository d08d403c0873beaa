#pragma once

#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_node/settings/NodeSettings.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_records/server/RecordsServerHooks.h"

#include <cstdint>
#include <memory>

namespace lacewingmux {

class MetricsRecorder;
class RecordsServer;
class RecordsView;
class SegmentedLog;
class TcpPeerHub;
struct VmIncarnation;

/** Everything of a records VM that lives on its traffic thread. */
class RecordsTraffic
{
public:
    RecordsTraffic(const NodeSettings &settings, const VmIncarnation &self,
                   MetricsRecorder &metrics, RecordsServerHooks hooks);
    ~RecordsTraffic();
    RecordsTraffic(const RecordsTraffic &) = delete;
    RecordsTraffic &operator=(const RecordsTraffic &) = delete;

    /** Takes a view of the records VMs. */
    void setView(const RecordsView &view);

    /** Takes a version of the operators' configuration, to pass on. */
    void setConfiguration(const ConfigurationDocumentMessage &document);

private:
    QtTimerService timers;
    std::unique_ptr<SegmentedLog> log;
    std::unique_ptr<TcpPeerHub> hub;
    std::unique_ptr<RecordsServer> server;
};

} // namespace lacewingmux

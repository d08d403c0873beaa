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

/** The services of a records VM that run on its traffic thread. */
class RecordsTrafficServices
{
public:
    RecordsTrafficServices(const NodeSettings &settings, const VmIncarnation &self,
                           MetricsRecorder &metrics, RecordsServerHooks hooks);
    ~RecordsTrafficServices();
    RecordsTrafficServices(const RecordsTrafficServices &) = delete;
    RecordsTrafficServices &operator=(const RecordsTrafficServices &) = delete;

    /** Sets the view of the records VMs. */
    void setView(const RecordsView &view);

    /** Sets the operators' configuration that is passed on to other VMs. */
    void setConfiguration(const ConfigurationDocumentMessage &document);

private:
    QtTimerService timers;
    std::unique_ptr<SegmentedLog> log;
    std::unique_ptr<TcpPeerHub> hub;
    std::unique_ptr<RecordsServer> server;
};

} // namespace lacewingmux

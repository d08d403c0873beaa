#include "lacewingmux_node/records/RecordsTrafficServices.h"

#include "lacewingmux_node/settings/PeerSetup.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_records/log/SegmentedLog.h"
#include "lacewingmux_records/server/RecordsServer.h"

#include <utility>

namespace lacewingmux {

RecordsTrafficServices::RecordsTrafficServices(const NodeSettings &settings,
                                               const VmIncarnation &self, MetricsRecorder &metrics,
                                               RecordsServerHooks hooks)
    : log(std::make_unique<SegmentedLog>(settings.dataFolder, this->timers))
    , hub(std::make_unique<TcpPeerHub>(peerSettings(settings, self), this->timers))
    , server(std::make_unique<RecordsServer>(*this->hub, *this->log, this->timers, metrics,
                                             std::move(hooks)))
{ }

RecordsTrafficServices::~RecordsTrafficServices() = default;

void RecordsTrafficServices::setView(const RecordsView &view)
{
    this->hub->setPeers(view.descriptors());
    this->server->setView(view);
}

void RecordsTrafficServices::setConfiguration(const ConfigurationDocumentMessage &document)
{
    this->server->setConfiguration(document);
}

} // namespace lacewingmux

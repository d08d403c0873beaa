#include "lacewingmux_node/records/RecordsTrafficServices.h"

#include "lacewingmux_node/settings/PeerSetup.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_records/log/SegmentedLog.h"
#include "lacewingmux_records/server/RecordsServer.h"

#include <utility>

namespace lacewingmux {

RecordsTrafficServices::RecordsTrafficServices(const NodeSettings &settings,
                                               const VmIncarnation &self, MetricsRecorder &metrics,
                                               Hooks hooks)
    : log(std::make_unique<SegmentedLog>(settings.dataFolder, this->timers))
    , hub(std::make_unique<TcpPeerHub>(peerSettings(settings, self), this->timers))
    , server(std::make_unique<RecordsServer>(*this->hub, *this->log, this->timers, metrics,
                                             std::move(hooks.records)))
    , relay(std::make_unique<RelayServer>(*this->hub, this->timers, std::move(hooks.relayServer)))
    , relays(std::make_unique<RelayClient>(*this->hub, this->timers, std::move(hooks.relayClient)))
{ }

RecordsTrafficServices::~RecordsTrafficServices() = default;

void RecordsTrafficServices::setView(const RecordsView &view)
{
    this->hub->setPeers(view.descriptors());
    this->server->setView(view);
    this->relays->setCandidates(view.incarnations());
}

void RecordsTrafficServices::setConfiguration(const ConfigurationDocumentMessage &document)
{
    this->server->setConfiguration(document);
}

} // namespace lacewingmux

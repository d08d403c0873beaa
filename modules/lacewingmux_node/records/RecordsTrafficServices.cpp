#include "lacewingmux_node/records/RecordsTrafficServices.h"

#include "lacewingmux_node/settings/PeerSetup.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_records/log/SegmentedLog.h"
#include "lacewingmux_records/server/RecordsServer.h"
#include "lacewingmux_tunnel/server/TunnelServer.h"

#include <utility>

namespace lacewingmux {

namespace {

// A quarter of the VM's memory buffers the bytes of tunnels.
constexpr qint64 tunnelMemoryDivisor = 4;
constexpr qint64 bytesPerMegabyte = qint64{1024} * 1024;
constexpr qint64 buffersPerTunnel = 4; // to read from and to write to each of its two connections

TunnelServerSettings tunnelSettings(const NodeSettings &settings)
{
    TunnelServerSettings tunnels;
    tunnels.address = settings.address;
    tunnels.port = settings.tunnelPort;
    tunnels.secret = settings.sharedSecret;
    tunnels.tunnelLimit = static_cast<std::size_t>(settings.memoryMegabytes * bytesPerMegabyte
                                                   / tunnelMemoryDivisor
                                                   / (buffersPerTunnel * tunnels.bufferBytes));
    tunnels.stopLimit = settings.stopLimit * 7 / 8;
    return tunnels;
}

} // namespace

RecordsTrafficServices::RecordsTrafficServices(const NodeSettings &settings,
                                               const VmIncarnation &self, MetricsRecorder &metrics,
                                               Hooks hooks)
    : monitor(this->timers, metrics)
    , log(std::make_unique<SegmentedLog>(settings.dataFolder, this->timers))
    , hub(std::make_unique<TcpPeerHub>(peerSettings(settings, self), this->timers))
    , server(std::make_unique<RecordsServer>(*this->hub, *this->log, this->timers, metrics,
                                             std::move(hooks.records)))
    , relay(std::make_unique<RelayServer>(*this->hub, this->timers, std::move(hooks.relayServer)))
    , relays(std::make_unique<RelayClient>(*this->hub, this->timers, std::move(hooks.relayClient)))
{
    if (settings.tunnelPort != 0)
        this->tunnels =
                std::make_unique<TunnelServer>(tunnelSettings(settings), this->timers, metrics);
    this->hub->addLinkHandler([this](const VmIncarnation &peer, bool up) {
        if (up && this->stopping && this->tunnels)
            this->announceTunnelStop(peer);
    });
}

RecordsTrafficServices::~RecordsTrafficServices() = default;

void RecordsTrafficServices::setView(const RecordsView &view)
{
    this->hub->setPeers(view.descriptors());
    this->server->setView(view);
    this->relays->setCandidates(view.incarnations());
}

void RecordsTrafficServices::beginStop(std::function<void()> stopped)
{
    this->stopping = true;
    if (!this->tunnels) {
        stopped();
        return;
    }
    for (const VmIncarnation &peer : this->hub->connectedPeers())
        this->announceTunnelStop(peer);
    this->tunnels->beginStop(std::move(stopped));
}

void RecordsTrafficServices::announceTunnelStop(const VmIncarnation &peer)
{
    this->hub->send(peer, {FrameKind::TunnelStopNotice, 0, 0, {}});
}

void RecordsTrafficServices::setConfiguration(const ConfigurationDocumentMessage &document)
{
    this->server->setConfiguration(document);
}

} // namespace lacewingmux

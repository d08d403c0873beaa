#include "lacewingmux_node/front/FrontTraffic.h"

#include "lacewingmux_gateway/forwarding/Gateway.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "lacewingmux_node/settings/PeerSetup.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_records/client/FleetQuota.h"
#include "lacewingmux_records/client/RecordsClient.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <utility>

namespace lacewingmux {

namespace {

constexpr qsizetype bytesPerMegabyte = qsizetype{1024} * 1024;
constexpr std::chrono::milliseconds recordsCheckInterval{100};
// A link that broke is back sooner than the balancer would act on it.
constexpr std::chrono::milliseconds recordsPatience{300};
constexpr int cachePart = 5; // of the VM's memory goes to chains that were seen here

GatewaySettings gatewaySettings(const NodeSettings &settings)
{
    GatewaySettings gateway;
    gateway.address = settings.address;
    gateway.port = settings.ingressPort;
    gateway.zone = settings.zone;
    // As many descriptors for replicas as for callers, and some for files and peers.
    gateway.connectionLimit = static_cast<std::size_t>(settings.descriptorLimit * 4 / 10);
    gateway.stopLimit = settings.stopLimit * 7 / 8;
    return gateway;
}

} // namespace

FrontTraffic::FrontTraffic(const NodeSettings &settings, const CallDialect &dialect,
                           MetricsRecorder &metrics, Hooks trafficHooks)
    : hooks(std::move(trafficHooks))
{
    const auto started = std::chrono::duration_cast<std::chrono::microseconds>(
            this->timers.wallNow().time_since_epoch());
    const VmIncarnation self{settings.vm, QString::fromUtf8(settings.zone),
                             static_cast<std::uint64_t>(started.count())};
    this->hub = std::make_unique<TcpPeerHub>(peerSettings(settings, self), this->timers);
    this->records = std::make_unique<RecordsClient>(
            *this->hub, this->timers, metrics,
            settings.memoryMegabytes * bytesPerMegabyte / cachePart, this->hooks.newerView);
    this->quota =
            std::make_unique<FleetQuota>(*this->hub, this->timers, this->hooks.newerConfiguration);
    this->gateway = std::make_unique<Gateway>(
            gatewaySettings(settings), this->timers, dialect, *this->quota, *this->records, metrics,
            [this](const CrashCoincidence &coincidence) { this->tellCrash(coincidence); });
    this->hub->setHandler(FrameKind::CrashNotice, [this](const auto &, const auto &frame) {
        if (const auto coincidence = RecordsCodec::decodeCrash(frame.payload))
            this->gateway->addRemoteCrash(*coincidence);
    });
    this->reachableCheck =
            this->timers.every(recordsCheckInterval, [this] { this->checkRecords(); });
}

FrontTraffic::~FrontTraffic() = default;

void FrontTraffic::tellCrash(const CrashCoincidence &coincidence)
{
    const PeerFrame notice{FrameKind::CrashNotice, 0, 0, RecordsCodec::encodeCrash(coincidence)};
    // Each records VM passes it on; one is enough, and others may be cut off.
    for (const VmIncarnation &peer : this->hub->connectedPeers())
        this->hub->send(peer, notice);
}

void FrontTraffic::checkRecords()
{
    const bool hasQuorum = this->records->hasQuorum();
    const TimerService::SteadyTime now = this->timers.now();
    if (hasQuorum)
        this->lastReachable = now;
    const bool stays = hasQuorum || now - this->lastReachable < recordsPatience;
    if (std::exchange(this->reachable, stays) == stays)
        return;
    this->gateway->setRecordsReachable(stays);
    this->hooks.recordsReachable(stays);
}

void FrontTraffic::setConfiguration(const std::shared_ptr<const RoutingTable> &table,
                                    const ConfigurationDocumentMessage &document)
{
    this->quota->setConfiguration(document);
    this->gateway->setRoutingTable(table);
}

void FrontTraffic::setReplicas(const std::vector<ReplicaInstance> &replicas)
{
    this->gateway->setReplicas(replicas);
}

void FrontTraffic::setView(const RecordsView &view)
{
    this->hub->setPeers(view.descriptors());
    this->records->setView(view);
    this->quota->setView(view);
}

void FrontTraffic::beginStop()
{
    this->gateway->beginStop(this->hooks.drained);
}

} // namespace lacewingmux

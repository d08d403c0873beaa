#include "lacewingmux_node/front/FrontTrafficServices.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_gateway/forwarding/Gateway.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "lacewingmux_node/settings/PeerSetup.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_records/client/FleetQuota.h"
#include "lacewingmux_records/client/RecordsClient.h"
#include "lacewingmux_records/messages/RecordsCodec.h"
#include "lacewingmux_relay/links/RelayClient.h"

#include <utility>

namespace lacewingmux {

namespace {

constexpr qsizetype bytesPerMegabyte = qsizetype{1024} * 1024;
// Silence of the records VMs after which this VM is not ready: one ping interval and a round trip
// more than usual. The load balancer needs two checks, a second apart, so a short silence has no
// effect, and callers in a partitioned zone are sent elsewhere before the links are closed.
constexpr std::chrono::milliseconds maximumRecordsSilence{500};
// A fifth of the VM's memory caches the histories of turns that passed through this VM.
constexpr int cacheMemoryDivisor = 5;
// A quarter bounds a single conversation, which may be cached and held by a call at the same time.
constexpr int conversationMemoryDivisor = 4;
// An eighth buffers responses until they are whole.
constexpr int responseMemoryDivisor = 8;
// An eighth holds callers' requests, and responses that callers have not read yet.
constexpr int callerMemoryDivisor = 8;

GatewaySettings gatewaySettings(const NodeSettings &settings)
{
    GatewaySettings gateway;
    gateway.address = settings.address;
    gateway.port = settings.ingressPort;
    gateway.zone = settings.zone;
    gateway.tunnelSecret = settings.sharedSecret;
    gateway.placement.features = settings.features;
    gateway.placement.drainLimit = settings.drainLimit;
    gateway.placement.vmSeed = stableHash(settings.vm.toUtf8());
    // Callers and replicas get equally many descriptors; the rest is for files and peers.
    gateway.connectionLimit = static_cast<std::size_t>(settings.descriptorLimit * 4 / 10);
    gateway.stopLimit = settings.stopLimit * 7 / 8;
    gateway.bufferedResponseLimit =
            settings.memoryMegabytes * bytesPerMegabyte / responseMemoryDivisor;
    gateway.callerMemoryLimit = settings.memoryMegabytes * bytesPerMegabyte / callerMemoryDivisor;
    gateway.maximumConversationBytes =
            settings.memoryMegabytes * bytesPerMegabyte / conversationMemoryDivisor;
    return gateway;
}

RecordsClientLimits recordsLimits(const NodeSettings &settings)
{
    const qsizetype memoryBytes = settings.memoryMegabytes * bytesPerMegabyte;
    return {memoryBytes / cacheMemoryDivisor, memoryBytes / conversationMemoryDivisor};
}

} // namespace

FrontTrafficServices::FrontTrafficServices(const NodeSettings &settings, const CallDialect &dialect,
                                           MetricsRecorder &metrics, Hooks trafficHooks)
    : monitor(this->timers, metrics)
    , hooks(std::move(trafficHooks))
    , tunnelPort(settings.tunnelPort)
    , detectsSilence(settings.features.has(Feature::ReadinessBySilence))
{
    const auto startTime = std::chrono::duration_cast<std::chrono::microseconds>(
            this->timers.wallNow().time_since_epoch());
    const VmIncarnation self{settings.vm, QString::fromUtf8(settings.zone),
                             static_cast<std::uint64_t>(startTime.count())};
    this->hub = std::make_unique<TcpPeerHub>(peerSettings(settings, self), this->timers);
    this->records = std::make_unique<RecordsClient>(*this->hub, this->timers, metrics,
                                                    recordsLimits(settings), this->hooks.newerView);
    this->quota =
            std::make_unique<FleetQuota>(*this->hub, this->timers, this->hooks.newerConfiguration);
    this->relays = std::make_unique<RelayClient>(
            *this->hub, this->timers,
            RelayClient::Hooks{this->hooks.relayUpdate, this->hooks.relayContact, [](bool) {}});
    this->gateway = std::make_unique<Gateway>(
            gatewaySettings(settings), this->timers, dialect, *this->quota, *this->records, metrics,
            [this](const CrashCoincidence &coincidence) {
                this->sendCrashNotice(FrameKind::CrashNotice, coincidence);
            });
    this->gateway->setCompletionHook(
            [this](const QByteArray &digest, std::chrono::milliseconds sinceSent) {
                this->sendCrashNotice(FrameKind::CrashSuspicionCleared, {digest, {}, sinceSent});
            });
    this->hub->setHandler(FrameKind::CrashNotice, [this](const auto &, const auto &frame) {
        if (const auto coincidence = RecordsCodec::decodeCrash(frame.payload))
            this->gateway->addRemoteCoincidence(*coincidence);
    });
    this->hub->setHandler(FrameKind::CrashSuspicionCleared,
                          [this](const auto &, const auto &frame) {
                              if (const auto run = RecordsCodec::decodeCrash(frame.payload))
                                  this->gateway->addRemoteCompletion(*run);
                          });
    this->hub->setHandler(FrameKind::TunnelStopNotice,
                          [this](const VmIncarnation &sender, const PeerFrame &) {
                              this->gateway->recordTunnelStop(sender.vm);
                          });
    this->recordsCheckTimer = this->timers.every(RecordsReachability::checkInterval,
                                                 [this] { this->updateRecordsReachable(); });
}

FrontTrafficServices::~FrontTrafficServices() = default;

void FrontTrafficServices::sendCrashNotice(FrameKind kind, const CrashCoincidence &coincidence)
{
    const PeerFrame notice{kind, 0, 0, RecordsCodec::encodeCrash(coincidence)};
    // Each records VM forwards the notice to the other entry VMs. One records VM would be enough,
    // but it may not be connected to every entry VM, so the notice is sent to all.
    for (const VmIncarnation &peer : this->hub->connectedPeers())
        this->hub->send(peer, notice);
}

void FrontTrafficServices::updateRecordsReachable()
{
    const bool hasQuorum = this->records->hasQuorum();
    const bool isResponsive =
            hasQuorum
            && (!this->detectsSilence || this->records->hasResponsiveQuorum(maximumRecordsSilence));
    const RecordsReachability::State state =
            this->reachability.check(hasQuorum, isResponsive, this->timers.now());
    const RecordsReachability::State before = std::exchange(this->recordsState, state);
    if (before.reachable != state.reachable)
        this->gateway->setRecordsReachable(state.reachable);
    if (before.ready != state.ready)
        this->hooks.recordsReachable(state.ready);
}

void FrontTrafficServices::setConfiguration(const std::shared_ptr<const RoutingTable> &table,
                                            const ConfigurationDocumentMessage &document)
{
    this->quota->setConfiguration(document);
    this->gateway->setRoutingTable(table);
}

void FrontTrafficServices::setReplicas(const std::vector<ReplicaInstance> &replicas)
{
    this->gateway->setReplicas(replicas);
}

void FrontTrafficServices::setEvacuatedZones(const std::set<QByteArray> &zones)
{
    this->gateway->setEvacuatedZones(zones);
}

void FrontTrafficServices::setView(const RecordsView &view)
{
    this->hub->setPeers(view.descriptors());
    this->records->setView(view);
    this->quota->setView(view);
    this->relays->setCandidates(view.incarnations());
    this->gateway->setTunnelEndpoints(this->tunnelEndpointsOf(view));
}

std::vector<TunnelEndpoint> FrontTrafficServices::tunnelEndpointsOf(const RecordsView &view) const
{
    std::vector<TunnelEndpoint> endpoints;
    if (this->tunnelPort == 0)
        return endpoints;
    for (const VmDescriptor &vm : view.descriptors())
        endpoints.push_back({vm.incarnation.vm, vm.incarnation.zone.toUtf8(),
                             QHostAddress(vm.address), this->tunnelPort});
    return endpoints;
}

void FrontTrafficServices::beginStop()
{
    this->gateway->beginStop(this->hooks.drained);
}

} // namespace lacewingmux

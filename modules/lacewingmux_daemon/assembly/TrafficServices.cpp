#include "lacewingmux_daemon/assembly/TrafficServices.h"

#include "lacewingmux_config/service/CallerAuthority.h"
#include "lacewingmux_daemon/assembly/ViewSnapshot.h"
#include "lacewingmux_daemon/settings/DaemonSettings.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"
#include "lacewingmux_report/metrics/PrometheusText.h"
#include "lacewingmux_zone/views/FleetViews.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux {

namespace {

ServerLimits serverLimitsOf(const CallerLimitSettings &settings)
{
    ServerLimits limits;
    limits.bodyBytes = settings.bodyBytes;
    limits.headBytes = settings.headerBytes;
    limits.connections = settings.connections;
    limits.idle = settings.idleTimeout;
    limits.slowRequest = settings.slowRequestTimeout;
    return limits;
}

ReplicaDispatcherSettings dispatcherSettingsOf(const VmDescriptor &self)
{
    ReplicaDispatcherSettings settings;
    settings.seed = self.incarnation.incarnation;
    return settings;
}

ForwarderSettings forwarderSettingsOf(const DaemonSettings &settings)
{
    ForwarderSettings result;
    result.configuredZones = QStringList(settings.zones.begin(), settings.zones.end());
    return result;
}

/** Whom the traffic channel links to: every member, and who may still hold copies of our zone. */
std::vector<VmDescriptor> trafficPeersOf(const ViewSnapshot &views)
{
    std::vector<VmDescriptor> peers = views.fleet->allMembers();
    for (const VmDescriptor &earlier : views.history.allMembers()) {
        const bool replaced = std::any_of(peers.begin(), peers.end(), [&earlier](const auto &peer) {
            return peer.incarnation.vm == earlier.incarnation.vm;
        });
        if (!replaced)
            peers.push_back(earlier);
    }
    return peers;
}

} // namespace

TrafficServices::TrafficServices(const DaemonSettings &settings, const VmDescriptor &self,
                                 const PeerHubSettings &hubSettings,
                                 HistogramMetrics &sharedMetrics, const TrafficHooks &hooks)
    : metrics(sharedMetrics)
    , descriptor(self)
    , hub(hubSettings, this->timers)
    , journal(this->hub, this->timers, sharedMetrics, self)
    , allowances(this->journal, this->hub, this->timers, sharedMetrics)
    , admission(this->hub, this->allowances, this->timers, sharedMetrics)
    , power(this->hub, this->allowances, this->timers)
    , dispatcher({this->timers, sharedMetrics, &this->power, self.incarnation,
                  [this](const CrashCoincidence &seen) { this->quarantineNotices.announce(seen); }},
                 dispatcherSettingsOf(self))
    , quarantineNotices(this->hub, this->dispatcher)
    , orderLeaseExchange(this->hub, this->timers, this->dispatcher.orderLease())
    , programs({this->journal,
                this->dispatcher,
                this->timers,
                sharedMetrics,
                self.incarnation,
                [this] { return this->journal.epoch(); },
                {},
                nullptr})
    , owner(this->programs, this->timers)
    , forwarder(this->timers, sharedMetrics, this->hub, this->owner, this->sent,
                forwarderSettingsOf(settings))
    , receiver(this->hub, this->owner)
    , front(this->timers, sharedMetrics, this->admission, this->forwarder, this->sent,
            this->frontHooks())
    , server(this->timers, sharedMetrics, serverLimitsOf(settings.limits),
             [this](CallerRequest request, const std::shared_ptr<CallerAnswer> &answer) {
                 this->front.handle(std::move(request), answer);
             })
{
    this->journal.setNewerEpochHandler(hooks.newerEpochSeen);
    this->journal.setSettledHandler([this, settled = hooks.settled](std::uint64_t epoch) {
        this->settledOnce = this->memberOfView;
        settled(epoch);
    });
    this->server.listen(QHostAddress(settings.callers.address), settings.callers.port);
}

TrafficServices::~TrafficServices() = default;

void TrafficServices::adoptConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    this->configured = true;
    this->allowances.adoptConfiguration(configuration);
    this->admission.adoptConfiguration(configuration);
    this->power.adoptConfiguration(configuration);
    this->programs.setConfiguration(configuration);
    this->burn.setConfiguration(configuration);
    this->front.adoptConfiguration(configuration);
}

void TrafficServices::adoptViews(const ViewSnapshot &views)
{
    this->memberOfView = views.own && views.own->contains(this->descriptor.incarnation);
    // A view without this VM is settled at once and says nothing about the slots it will hold.
    this->settledOnce = this->settledOnce && this->memberOfView;
    this->hub.setPeers(trafficPeersOf(views));
    if (views.own) {
        this->journal.adoptView(views.own, views.history);
        this->orderLeaseExchange.adoptView(*views.own);
    }
    this->allowances.adoptViews(views.fleet);
    this->admission.adoptViews(views.fleet);
    this->power.adoptViews(views.fleet);
    this->forwarder.adoptViews(views.fleet);
}

void TrafficServices::adoptAuthority(std::shared_ptr<const CallerAuthority> newAuthority)
{
    this->authority = std::move(newAuthority);
}

void TrafficServices::withdrawKeys(const std::vector<QString> &keyIds)
{
    for (const QString &keyId : keyIds) {
        this->front.withdrawKey(keyId);
        this->forwarder.withdrawKey(keyId);
    }
}

void TrafficServices::adoptReplicas(const std::shared_ptr<const ReplicaSet> &replicas)
{
    this->dispatcher.adoptReplicas(replicas);
}

void TrafficServices::becomeUnready()
{
    this->front.beginDrain();
    this->server.beginDrain();
}

void TrafficServices::refuseConnections()
{
    this->accepting = false;
    this->server.stopListening();
}

void TrafficServices::refuseNewWork()
{
    this->owner.beginDrain();
}

void TrafficServices::askOwner(OwnerRequest request, const OperatorReply &reply)
{
    request.byOperator = true;
    const auto body = std::make_shared<QByteArray>();
    ResponseSink sink;
    sink.begin = [](int, const std::vector<HttpHeader> &) {};
    sink.chunk = [body](const QByteArray &bytes) { body->append(bytes); };
    sink.end = [body, reply] { reply.succeed(QJsonDocument::fromJson(*body).object()); };
    sink.fail = reply.fail;
    this->forwarder.handle(request, std::move(sink));
}

TrafficStatus TrafficServices::status() const
{
    TrafficStatus status;
    status.ready = this->isReady();
    status.settled = this->journal.isSettled();
    status.drained = this->journal.isDrained();
    status.serving = this->accepting;
    status.epoch = this->journal.epoch();
    status.runningCalls = this->programs.runningCount();
    status.ownerRequests = this->programs.pendingRequestCount() + this->receiver.requestCount();
    status.forwardedRequests = this->forwarder.requestCount();
    status.callerConnections = this->server.connectionCount();
    status.frontIdle = this->front.isIdle() && this->server.isIdle();
    status.programs = this->programs.programCount();
    status.peers = this->hub.connectedPeers().size();
    return status;
}

QJsonArray TrafficServices::burnCounts() const
{
    return this->burn.toJson(this->timers.wallNow());
}

FrontHooks TrafficServices::frontHooks()
{
    FrontHooks hooks;
    hooks.authenticate = [this](const QByteArray &presentedKey) {
        return this->authenticate(presentedKey);
    };
    hooks.isReady = [this] { return this->isReady(); };
    hooks.metricsText = [this] { return PrometheusText::write(this->metrics.snapshot()); };
    hooks.served = [this](const ServedRequest &request) { this->burn.record(request); };
    return hooks;
}

AuthenticationResult TrafficServices::authenticate(const QByteArray &presentedKey) const
{
    AuthenticationResult result;
    if (!this->authority)
        return result;
    try {
        const auto caller = this->authority->authenticate(presentedKey, this->timers.now());
        result.accepted = true;
        result.team = caller.team;
        result.keyId = caller.keyId;
    } catch (const LacewingmuxError &error) {
        result.refusal = error.kind();
    }
    return result;
}

bool TrafficServices::isReady() const
{
    return this->configured && this->memberOfView && this->settledOnce;
}

} // namespace lacewingmux

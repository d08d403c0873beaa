#include "lacewingmux_gateway/forwarding/Gateway.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_gateway/forwarding/CallContext.h"
#include "lacewingmux_gateway/forwarding/ForwardedCall.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"
#include "lacewingmux_gateway/ingress/IngressServer.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds stopCheckInterval{100};
// Interval of closing idle connections while the records VMs are unreachable.
constexpr std::chrono::milliseconds failoverCheckInterval{250};
// Avoids a second refusal when the records VMs are unreachable from all VMs.
constexpr std::chrono::milliseconds minimumFailoverDelay{250};
constexpr std::chrono::milliseconds coldReportInterval{500};

const char *describe(ColdReplicas::Reason reason)
{
    switch (reason) {
    case ColdReplicas::Reason::Stated:
        return "the replica says so";
    case ColdReplicas::Reason::Started:
        return "it has started";
    case ColdReplicas::Reason::ZoneReturned:
        return "the evacuation of its zone has ended";
    case ColdReplicas::Reason::Unreachable:
        return "it was unreachable";
    }
    return "";
}

} // namespace

Gateway::Gateway(const GatewaySettings &gatewaySettings, TimerService &timerService,
                 CallDialect callDialect, TeamQuota &teamQuota, TurnStore &turnStoreClient,
                 MetricsRecorder &metricsRecorder, CrashCorrelator::CrashHook crashHook)
    : settings(gatewaySettings)
    , timers(timerService)
    , dialect(std::move(callDialect))
    , quota(teamQuota)
    , turnStore(turnStoreClient)
    , metrics(metricsRecorder)
    , fleet(gatewaySettings.zone, gatewaySettings.placement, timerService, std::move(crashHook),
            gatewaySettings.tunnelSecret)
    , admission(this->fleet.placement(), metricsRecorder, gatewaySettings.placement.features)
    , responseMemory(gatewaySettings.bufferedResponseLimit)
    , historyMemory(gatewaySettings.maximumConversationBytes)
{
    this->ingress = std::make_unique<IngressServer>(
            this->settings.address, this->settings.port, this->settings.connectionLimit,
            this->settings.callerMemoryLimit, this->timers,
            [this](const std::shared_ptr<IngressConnection> &caller, HttpRequest request) {
                this->handleRequest(caller, std::move(request));
            },
            [this](const IngressConnection *caller) { this->handleCallerDisconnected(caller); });
    this->coldReportTimer =
            this->timers.every(coldReportInterval, [this] { this->reportColdReplicas(); });
}

Gateway::~Gateway() = default;

std::uint16_t Gateway::port() const
{
    return this->ingress->port();
}

void Gateway::setRoutingTable(std::shared_ptr<const RoutingTable> newTable)
{
    this->table = std::move(newTable);
    if (!this->table)
        return;
    this->ingress->setLimits(this->table->limits());
    this->fleet.placement().coldReplicas().setServices(this->table->allServices());
}

void Gateway::reportColdReplicas()
{
    ColdReplicas &coldReplicas = this->fleet.placement().coldReplicas();
    const TimerService::SteadyTime now = this->timers.now();
    const std::vector<ColdReplicas::Change> changes = coldReplicas.takeChanges(now);
    if (changes.empty())
        return;
    for (const ColdReplicas::Change &change : changes) {
        LogEvent line(LogSeverity::Info, change.reason ? "replicaCold" : "replicaNotCold");
        line.field("replica", QString::fromUtf8(change.id));
        if (change.reason)
            line.field("reason", describe(*change.reason));
    }
    this->metrics.set("lacewingmux_cold_replicas", {}, coldReplicas.count(now));
}

void Gateway::setReplicas(const std::vector<ReplicaInstance> &instances)
{
    this->fleet.setReplicas(instances);
}

void Gateway::setEvacuatedZones(const std::set<QByteArray> &zones)
{
    this->fleet.setEvacuatedZones(zones);
}

void Gateway::setTunnelEndpoints(const std::vector<TunnelEndpoint> &endpoints)
{
    this->fleet.setTunnelEndpoints(endpoints);
}

void Gateway::recordTunnelStop(const QString &vm)
{
    this->fleet.recordTunnelStop(vm);
}

void Gateway::addRemoteCoincidence(const CrashCoincidence &coincidence)
{
    this->fleet.crashCorrelator().addRemoteCoincidence(coincidence, this->timers.now());
}

void Gateway::addRemoteCompletion(const CrashCoincidence &run)
{
    this->fleet.crashCorrelator().addRemoteCompletion(run.contentDigest, run.sinceSent,
                                                      this->timers.now());
}

void Gateway::setCompletionHook(CrashCorrelator::CompletionHook hook)
{
    this->fleet.crashCorrelator().setCompletionHook(std::move(hook));
}

void Gateway::setRecordsReachable(bool reachable)
{
    if (reachable) {
        this->recordsUnreachableSince.reset();
        this->failoverTimer.cancel();
    } else if (!this->recordsUnreachableSince) {
        this->recordsUnreachableSince = this->timers.now();
        this->failoverTimer =
                this->timers.every(failoverCheckInterval, [this] { this->closeIdleForFailover(); });
    }
}

std::optional<std::chrono::milliseconds> Gateway::recordsUnreachableRetryDelay() const
{
    if (!this->recordsUnreachableSince)
        return std::nullopt;
    const auto passed = std::chrono::floor<std::chrono::milliseconds>(
            this->timers.now() - *this->recordsUnreachableSince);
    return std::max(minimumFailoverDelay, this->settings.balancerFailoverTime - passed);
}

void Gateway::closeIdleForFailover()
{
    // Before that time, a new connection could reach this VM again.
    if (this->timers.now() - *this->recordsUnreachableSince >= this->settings.balancerFailoverTime)
        this->ingress->closeIdleConnections();
}

void Gateway::beginStop(std::function<void()> drained)
{
    if (this->stop)
        return;
    this->drainedHook = std::move(drained);
    this->stop.emplace(this->timers.now(), this->settings);
    this->ingress->closeConnectionsAfterResponse();
    for (const auto &call : this->openCalls())
        call->beginStop(this->stop->latestCallEnd());
    this->stopTimer = this->timers.every(std::min(stopCheckInterval, this->settings.stopLimit / 8),
                                         [this] { this->continueStop(); });
    this->stopLimitTimer =
            this->timers.after(this->settings.stopLimit, [this] { this->endStop(false); });
}

void Gateway::handleRequest(const std::shared_ptr<IngressConnection> &caller, HttpRequest request)
{
    const auto latestCallEnd =
            this->stop ? std::optional(this->stop->latestCallEnd()) : std::nullopt;
    const CallContext context{this->timers,
                              this->dialect,
                              this->fleet,
                              this->admission,
                              this->quota,
                              this->turnStore,
                              this->responseMemory,
                              this->historyMemory,
                              this->settings.maximumConversationBytes,
                              this->metrics,
                              this->table,
                              latestCallEnd,
                              this->recordsUnreachableRetryDelay()};
    const IngressConnection *key = caller.get();
    auto call = std::make_shared<ForwardedCall>(context, caller, std::move(request), [this, key] {
        const auto ended = this->calls.find(key);
        if (ended == this->calls.end())
            return;
        // The call is still on the call stack, so it is destroyed later.
        this->timers.post([kept = std::move(ended->second)] {});
        this->calls.erase(ended);
    });
    this->calls[key] = call;
    call->begin();
}

void Gateway::handleCallerDisconnected(const IngressConnection *caller)
{
    const auto found = this->calls.find(caller);
    if (found != this->calls.end())
        std::shared_ptr(found->second)->callerDisconnected();
}

void Gateway::continueStop()
{
    if (this->timers.now() < this->stop->listeningEnd())
        return;
    this->ingress->stopListening();
    this->ingress->closeIdleConnections();
    if (this->calls.empty() && this->ingress->connectionCount() == 0)
        this->endStop(true);
}

void Gateway::endStop(bool drained)
{
    this->stopLimitTimer.cancel();
    LogEvent(drained ? LogSeverity::Info : LogSeverity::Warning, "stopEnds")
            .field("milliseconds",
                   static_cast<qint64>(this->stop->elapsed(this->timers.now()).count()))
            .field("calls", static_cast<qint64>(this->calls.size()))
            .field("connections", static_cast<qint64>(this->ingress->connectionCount()));
    for (const auto &call : this->openCalls())
        call->endWithStop();
    this->ingress->refusePartialRequests();
    this->stopTimer =
            this->timers.after(this->stop->finalResponseTime(), [this] { this->drainedHook(); });
}

std::vector<std::shared_ptr<ForwardedCall>> Gateway::openCalls() const
{
    std::vector<std::shared_ptr<ForwardedCall>> open;
    open.reserve(this->calls.size());
    for (const auto &[caller, call] : this->calls)
        open.push_back(call);
    return open;
}

} // namespace lacewingmux

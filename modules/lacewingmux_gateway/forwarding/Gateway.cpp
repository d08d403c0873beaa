#include "lacewingmux_gateway/forwarding/Gateway.h"

#include "lacewingmux_gateway/forwarding/ForwardedCall.h"
#include "lacewingmux_gateway/forwarding/GatewayServices.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"
#include "lacewingmux_gateway/ingress/IngressServer.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds stopStep{100};
constexpr std::chrono::milliseconds detourStep{250}; // in which idle connections may gather
// Spares callers a second refusal when the records VMs are away for all VMs.
constexpr std::chrono::milliseconds shortestDetour{250};
constexpr std::chrono::milliseconds lastAnswers{
        400}; // for answers to leave before the process ends

} // namespace

Gateway::Gateway(const GatewaySettings &gatewaySettings, TimerService &timerService,
                 CallDialect callDialect, TeamQuota &teamQuota, TurnStore &turnLedger,
                 MetricsRecorder &metricsRecorder, CrashSuspicions::CrashHook crashHook)
    : settings(gatewaySettings)
    , timers(timerService)
    , dialect(std::move(callDialect))
    , quota(teamQuota)
    , ledger(turnLedger)
    , metrics(metricsRecorder)
    , fleet(gatewaySettings.zone, timerService, std::move(crashHook))
{
    this->ingress = std::make_unique<IngressServer>(
            this->settings.address, this->settings.port, this->settings.connectionLimit,
            this->timers,
            [this](const std::shared_ptr<IngressConnection> &caller, HttpRequest request) {
                this->handleRequest(caller, std::move(request));
            },
            [this](const IngressConnection *caller) { this->handleLeave(caller); });
}

Gateway::~Gateway() = default;

std::uint16_t Gateway::port() const
{
    return this->ingress->port();
}

void Gateway::setRoutingTable(std::shared_ptr<const RoutingTable> newTable)
{
    this->table = std::move(newTable);
    if (this->table)
        this->ingress->setLimits(this->table->limits());
}

void Gateway::setReplicas(const std::vector<ReplicaInstance> &instances)
{
    this->fleet.setReplicas(instances);
}

void Gateway::addRemoteCrash(const CrashCoincidence &coincidence)
{
    this->fleet.suspicions().takeNotice(coincidence, this->timers.now());
}

void Gateway::setRecordsReachable(bool reachable)
{
    if (reachable) {
        this->recordsLost.reset();
        this->detourTimer.cancel();
    } else if (!this->recordsLost) {
        this->recordsLost = this->timers.now();
        this->detourTimer = this->timers.every(detourStep, [this] { this->continueDetour(); });
    }
}

std::optional<std::chrono::milliseconds> Gateway::detour() const
{
    if (!this->recordsLost)
        return std::nullopt;
    const auto passed =
            std::chrono::floor<std::chrono::milliseconds>(this->timers.now() - *this->recordsLost);
    return std::max(shortestDetour, this->settings.detourNotice - passed);
}

void Gateway::continueDetour()
{
    // Only now would a new connection lead elsewhere.
    if (this->timers.now() - *this->recordsLost >= this->settings.detourNotice)
        this->ingress->closeIdleConnections();
}

void Gateway::beginStop(std::function<void()> drained)
{
    this->whenDrained = std::move(drained);
    this->stopBegan = this->timers.now();
    this->stopTimer = this->timers.every(stopStep, [this] { this->continueStop(); });
}

void Gateway::handleRequest(const std::shared_ptr<IngressConnection> &caller, HttpRequest request)
{
    const bool takes =
            !this->whenDrained || this->timers.now() - this->stopBegan < this->settings.stopTaking;
    const GatewayServices services{this->timers, this->dialect, this->fleet,
                                   this->quota,  this->ledger,  this->metrics,
                                   this->table,  takes,         this->detour()};
    const IngressConnection *key = caller.get();
    auto call = std::make_shared<ForwardedCall>(services, caller, std::move(request), [this, key] {
        const auto ended = this->calls.find(key);
        if (ended == this->calls.end())
            return;
        // The call is still on the stack.
        this->timers.post([kept = std::move(ended->second)] {});
        this->calls.erase(ended);
    });
    this->calls[key] = call;
    call->begin();
}

void Gateway::handleLeave(const IngressConnection *caller)
{
    const auto found = this->calls.find(caller);
    if (found != this->calls.end())
        std::shared_ptr(found->second)->callerLeft();
}

void Gateway::continueStop()
{
    const auto elapsed = this->timers.now() - this->stopBegan;
    if (elapsed < this->settings.stopNotice)
        return;
    this->ingress->stopListening();
    this->ingress->endConnectionsAfterAnswer();
    this->ingress->closeIdleConnections();
    const bool drained = this->calls.empty() && this->ingress->connectionCount() == 0;
    if (!drained && elapsed < this->settings.stopLimit)
        return;
    this->stopTimer.cancel();
    this->stopTimer = this->timers.after(lastAnswers, [this] {
        if (this->whenDrained)
            this->whenDrained();
    });
}

} // namespace lacewingmux

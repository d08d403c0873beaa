#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"
#include "lacewingmux_gateway/replicas/ReplicaRequest.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// A larger one is written without being copied behind the head.
constexpr qsizetype largestCopiedBody = qsizetype{64} * 1024;
constexpr milliseconds minimumUsefulTime{20}; // no replica responds in less
constexpr milliseconds noReplicaRetry{400};   // about the time until a replica registers
// Operators end an evacuation at a time that is not known in advance. Short compared to an
// evacuation, and long enough that the callers' retries do not load the entry VMs.
constexpr milliseconds evacuatedRetry{2000};
constexpr milliseconds minimumLimitWait{10};      // before a replica at its limit is asked again
constexpr milliseconds initialPlacementDelay{15}; // about half the duration of a tool call
constexpr milliseconds maximumPlacementDelay{120};
// Much longer than a plain call or a pause within a stream takes; with a shorter time, replicas
// that are merely slow would be probed.
constexpr milliseconds inactivityBeforeProbe{600};

} // namespace

void ForwardedCall::placeCall()
{
    this->phase = Phase::Placing;
    if (this->deadline.remaining(this->now()) < minimumUsefulTime) {
        this->handleTimeout();
        return;
    }
    if (this->possibleRuns == 0 && !this->admitIfEndsBeforeStop())
        return;
    if (this->possibleRuns == 0 && this->rejections == 0 && this->placementRounds == 0)
        this->context.fleet.placement().recordTurn(this->description.promptParts, this->now());
    PlacementRequest placementRequest;
    placementRequest.service = this->service;
    placementRequest.forEngine = this->forEngine;
    placementRequest.promptParts = this->description.promptParts;
    placementRequest.affinityKey =
            this->route.sticky ? this->description.affinityKey : QByteArray();
    placementRequest.excludedInstances = this->excludedInstances;
    placementRequest.ignoresReachedLimits = this->waitsForLimit;
    placementRequest.now = this->now();
    const std::optional<QByteArray> chosen =
            this->context.fleet.placement().choose(placementRequest);
    if (!chosen) {
        this->schedulePlacementRetry();
        return;
    }
    const ReplicaInstance *instance = this->context.fleet.instance(*chosen);
    const auto replicaQuota = instance == nullptr ? std::nullopt : this->quotaOf(*instance);
    if (replicaQuota)
        this->takeReplicaQuota(*chosen, *replicaQuota);
    else
        this->sendToReplica(*chosen);
}

std::optional<QuotaRequest> ForwardedCall::quotaOf(const ReplicaInstance &chosen) const
{
    Placement &placement = this->context.fleet.placement();
    const auto limit = placement.limit(chosen);
    if (const auto coldLimit = placement.coldReplicas().limit(chosen.id, this->now()))
        return coldReplicaQuotaRequest(chosen, *coldLimit, limit);
    return limit ? std::optional(replicaQuotaRequest(chosen, *limit)) : std::nullopt;
}

void ForwardedCall::recordColdness(bool isOwnResponse)
{
    ColdReplicas &coldReplicas = this->context.fleet.placement().coldReplicas();
    coldReplicas.recordContact(this->attempt.replica, this->now());
    const std::optional<milliseconds> remaining = this->attempt.responseInfo.coldRemaining;
    if (remaining && (remaining->count() > 0 || isOwnResponse))
        coldReplicas.recordStatement(this->attempt.replica, this->attempt.startMilliseconds,
                                     *remaining, this->now());
}

bool ForwardedCall::isCold(const QByteArray &instance) const
{
    return this->context.fleet.placement().coldReplicas().limit(instance, this->now()).has_value();
}

void ForwardedCall::takeReplicaQuota(const QByteArray &instance, QuotaRequest replicaQuota)
{
    replicaQuota.reserve = this->quotaRequest.reserve;
    replicaQuota.mayWait = this->waitsForLimit;
    this->context.quota.take(replicaQuota,
                             [weakSelf = this->weak_from_this(), instance, replicaQuota,
                              &quota = this->context.quota](const QuotaDecision &decision) {
                                 const auto self = weakSelf.lock();
                                 if (self && self->phase == Phase::Placing)
                                     self->handleReplicaQuota(instance, decision);
                                 else if (decision.admitted)
                                     quota.refund(replicaQuota);
                             });
}

void ForwardedCall::handleReplicaQuota(const QByteArray &instance, const QuotaDecision &decision)
{
    if (decision.admitted) {
        this->sendToReplica(instance);
        return;
    }
    const milliseconds wait = std::max(minimumLimitWait, decision.retryAfter);
    this->limitRetryAfter = std::min(this->limitRetryAfter.value_or(wait), wait);
    if (const ReplicaInstance *known = this->context.fleet.instance(instance))
        this->context.fleet.placement().recordLimitReached(*known, this->now(), this->now() + wait);
    if (this->waitsForLimit)
        this->excludedInstances.push_back(instance);
    else if (this->isCold(instance))
        this->context.metrics.count("lacewingmux_cold_redirects_total", {}, 1);
    this->placeCall();
}

void ForwardedCall::sendToReplica(const QByteArray &instance)
{
    const ReplicaInstance *registered = this->context.fleet.instance(instance);
    std::shared_ptr<ReplicaConnection> connection;
    // The zone may have been evacuated since the replica was chosen.
    if (registered != nullptr && !this->context.fleet.isEvacuated(*registered))
        connection = this->context.fleet.acquire(instance, this->description.requestId);
    if (!connection) {
        this->excludedInstances.push_back(instance);
        this->placeCall();
        return;
    }
    this->beginAttempt(*registered, std::move(connection));
    this->attempt.connection->exchange(this->replicaRequest(), this->exchangeHooks());
}

void ForwardedCall::beginAttempt(const ReplicaInstance &instance,
                                 std::shared_ptr<ReplicaConnection> connection)
{
    ReplicaAttempt next;
    next.number = this->attempt.number + 1;
    next.replica = instance.id;
    next.startMilliseconds = instance.startMilliseconds;
    next.resumedAfter = this->delivered.lastId();
    next.resumesStream = this->description.resumesStream() || !next.resumedAfter.isEmpty();
    next.uncachedTokens = this->context.fleet.placement().uncachedTokens(
            instance.id, this->description.promptParts);
    next.sentAt = this->now();
    next.lastActivity = next.sentAt;
    next.connection = std::move(connection);
    next.activityTimer = this->context.timers.after(inactivityBeforeProbe,
                                                    [this] { this->checkReplicaActivity(); });
    this->attempt = std::move(next);
    this->delivered.sequence().resume();
    this->phase = Phase::Sent;
    this->waitsForLimit = false;
    this->limitRetryAfter.reset();
    if (!this->timeToFirstSend)
        this->timeToFirstSend =
                std::chrono::floor<milliseconds>(this->attempt.sentAt - this->arrived);
    ++this->possibleRuns;
    this->quotaHeld = false;
    this->context.fleet.placement().callStarted(instance.id, this->attempt.sentAt);
}

ReplicaRequest ForwardedCall::replicaRequest() const
{
    ReplicaRequestInfo requestInfo;
    requestInfo.instance = this->attempt.replica;
    requestInfo.team = this->team.name;
    requestInfo.timeLeft = this->deadline.remainingForReplica(this->attempt.sentAt);
    requestInfo.priority = this->replicaPriority();
    requestInfo.resumeAfter = this->attempt.resumedAfter;
    const HttpFields fields = this->context.dialect.fieldsForReplica(this->request, requestInfo);
    const qsizetype bodyBytes = this->history.size() + this->request.body.size();
    ReplicaRequest sent{
            this->description.requestId,
            requestHeadText(this->request.method, this->request.target, fields, bodyBytes),
            this->request.method == "HEAD"};
    if (bodyBytes > largestCopiedBody)
        sent.following = {this->history, this->request.body};
    else
        sent.text += this->history + this->request.body;
    return sent;
}

ReplicaConnection::Hooks ForwardedCall::exchangeHooks()
{
    // Nothing that an earlier attempt's connection delivers may reach the current attempt.
    const auto current = [weakSelf = this->weak_from_this(), number = this->attempt.number] {
        const auto self = weakSelf.lock();
        return self && self->attempt.number == number ? self : nullptr;
    };
    ReplicaConnection::Hooks hooks;
    hooks.attribute = [current](const HttpResponseHead &responseHead) {
        const auto self = current();
        return self ? self->attribute(responseHead) : ResponseAttribution::Unknown;
    };
    hooks.head = [current](const HttpResponseHead &responseHead) {
        if (const auto self = current())
            self->handleHead(responseHead);
    };
    hooks.body = [current](const QByteArray &bytes) {
        if (const auto self = current())
            self->handleBody(bytes);
    };
    hooks.complete = [current] {
        if (const auto self = current())
            self->handleComplete();
    };
    hooks.failed = [current](ExchangeFailure reason) {
        if (const auto self = current())
            self->handleFailure(reason);
    };
    return hooks;
}

void ForwardedCall::checkReplicaActivity()
{
    if (!this->attempt.connection)
        return;
    const auto inactivity = this->now() - this->attempt.lastActivity;
    const bool isInactive = inactivity >= inactivityBeforeProbe;
    if (isInactive)
        this->probeReplica();
    const auto delay = isInactive ? inactivityBeforeProbe : inactivityBeforeProbe - inactivity;
    this->attempt.activityTimer = this->context.timers.after(
            std::chrono::ceil<milliseconds>(delay), [this] { this->checkReplicaActivity(); });
}

void ForwardedCall::probeReplica()
{
    if (std::exchange(this->attempt.probing, true))
        return;
    this->context.fleet.probeSilent(this->attempt.replica, this->attempt.connection->tunnel(),
                                    [weakSelf = this->weak_from_this(),
                                     number = this->attempt.number](ConnectResult result) {
                                        const auto self = weakSelf.lock();
                                        if (!self || self->attempt.number != number)
                                            return;
                                        self->attempt.probing = false;
                                        self->attempt.probeResult = result;
                                    });
}

void ForwardedCall::handleNotConnected(const std::shared_ptr<const TunnelUse> &tunnel)
{
    ReplicaFleet &fleet = this->context.fleet;
    if (tunnel)
        fleet.recordUnreachableThroughTunnel(this->attempt.replica);
    else
        fleet.recordUnreachable(this->attempt.replica);
    // Connections to other replicas would fail likewise, after the same time.
    const ReplicaInstance *instance = fleet.instance(this->attempt.replica);
    // A cold replica would get the request long after the token for it was granted.
    const bool takesCalls = instance != nullptr && !instance->draining
                            && !fleet.placement().isLeaving(*instance)
                            && !this->isCold(this->attempt.replica) && this->endsBeforeStop();
    if (!tunnel && takesCalls && fleet.mayHaveLostLinks(this->attempt.sentAt)) {
        this->sendToReplica(QByteArray(this->attempt.replica));
        return;
    }
    this->excludedInstances.push_back(this->attempt.replica);
    this->placeCall();
}

void ForwardedCall::schedulePlacementRetry()
{
    if (this->context.fleet.placement().isEvacuated(this->service)) {
        this->refuse(ErrorKind::BackendUnavailable,
                     "every replica of the service is in an evacuated zone", evacuatedRetry);
        return;
    }
    if (!this->waitsForLimit
        && this->context.fleet.placement().hasReachedLimits(this->service, this->now())) {
        this->waitsForLimit = true;
        this->placeCall();
        return;
    }
    if (this->limitRetryAfter) {
        this->refuse(ErrorKind::Overloaded, "every replica is at its limit",
                     *this->limitRetryAfter);
        return;
    }
    // No replica is left: each one refused or could not be connected to, or none is known. Replicas
    // at capacity may have capacity again soon.
    if (this->rejections == 0 && this->countedRuns() == 0 && this->placementRounds > 0) {
        this->refuse(ErrorKind::BackendUnavailable, "the service has no replica", noReplicaRetry);
        return;
    }
    const milliseconds pause =
            std::min(maximumPlacementDelay,
                     initialPlacementDelay * (1 << std::min(this->placementRounds, 3)));
    if (this->deadline.remaining(this->now()) < pause + minimumUsefulTime) {
        this->refuse(ErrorKind::Overloaded, "every replica is full", noReplicaRetry);
        return;
    }
    ++this->placementRounds;
    this->excludedInstances.clear();
    this->placementTimer = this->context.timers.after(pause, [this] { this->placeCall(); });
}

} // namespace lacewingmux

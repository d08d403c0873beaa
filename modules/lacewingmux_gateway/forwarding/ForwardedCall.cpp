#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <QCryptographicHash>

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// The configuration is read from the platform's store within a few calls.
constexpr milliseconds noConfigurationRetry{300};
constexpr milliseconds quarantineRetry{30000};
constexpr milliseconds otherVmRetry{50};          // a new connection reaches another VM
constexpr milliseconds noReplicaRetry{400};       // about the time until a replica registers
constexpr milliseconds minimumLimitWait{10};      // before a replica at its limit is asked again
constexpr milliseconds initialPlacementDelay{15}; // about half the duration of a tool call
constexpr milliseconds maximumPlacementDelay{120};
// Much longer than a plain call or a pause within a stream takes; with a shorter time, replicas
// that are merely slow would be probed.
constexpr milliseconds inactivityBeforeProbe{600};
// The prompt part that programs share and the turn's own part; the prompt of a later turn has more.
constexpr std::size_t maximumFirstTurnPromptParts = 2;
constexpr milliseconds minimumUsefulTime{20}; // no replica responds in less

/** Selects the service for the request by weight; requests with equal keys get the same
    service. */
QByteArray selectService(const GatewayRoute &route, const QByteArray &affinityKey)
{
    if (route.targets.empty())
        return {};
    int total = 0;
    for (const RouteTarget &target : route.targets)
        total += target.weight;
    if (total <= 0)
        return route.targets.front().service;
    auto position = static_cast<int>(stableHash(affinityKey) % static_cast<std::uint64_t>(total));
    for (const RouteTarget &target : route.targets) {
        if (position < target.weight)
            return target.service;
        position -= target.weight;
    }
    return route.targets.back().service;
}

} // namespace

ForwardedCall::ForwardedCall(const CallContext &callContext,
                             std::shared_ptr<IngressConnection> callerConnection,
                             HttpRequest callerRequest, std::function<void()> endedHook)
    : context(callContext)
    , caller(std::move(callerConnection))
    , request(std::move(callerRequest))
    , endedCallback(std::move(endedHook))
    , arrived(callContext.timers.now())
{ }

ForwardedCall::~ForwardedCall()
{
    if (this->connection)
        this->abortExchange();
    std::ignore = this->accountResponse(0);
}

void ForwardedCall::begin()
{
    this->description = this->context.dialect.parseRequest(this->request);
    if (!this->context.acceptsRequests) {
        this->refuse(ErrorKind::ShuttingDown, "this VM is stopping", otherVmRetry);
        return;
    }
    if (this->context.table == nullptr) {
        this->refuse(ErrorKind::StoreUnavailable, "no configuration is known yet",
                     noConfigurationRetry);
        return;
    }
    if (!this->findRoute() || !this->authenticate() || !this->admitUnlessQuarantined())
        return;
    this->deadline = CallDeadline(this->arrived, this->description.timeLeft, this->route.timeout);
    this->deadlineTimer = this->context.timers.after(this->deadline.remaining(this->now()),
                                                     [this] { this->handleTimeout(); });
    this->takeQuota();
}

bool ForwardedCall::findRoute()
{
    const QByteArray &target = this->request.target;
    const qsizetype query = target.indexOf('?');
    const QByteArray path = query < 0 ? target : target.left(query);
    const GatewayRoute *found = this->context.table->route(this->description.host, path);
    if (found == nullptr) {
        this->refuse(ErrorKind::UnknownRoute, "no route of the host has this path",
                     milliseconds(0));
        return false;
    }
    this->route = *found;
    this->service = selectService(this->route, this->description.session.isEmpty()
                                                       ? this->description.requestId
                                                       : this->description.session);
    if (const GatewayService *known = this->context.table->service(this->service)) {
        this->forEngine = known->isEngine;
        this->tokensPerEvent = known->tokensPerEvent;
    }
    return true;
}

bool ForwardedCall::authenticate()
{
    if (!this->context.table->hasTeams() || this->route.isPublic)
        return true;
    const GatewayTeam *found = this->context.table->teamOfKey(this->description.key);
    if (found == nullptr) {
        this->refuse(ErrorKind::Unauthenticated, "no team holds this key", milliseconds(0));
        return false;
    }
    this->team = *found;
    return true;
}

bool ForwardedCall::admitUnlessQuarantined()
{
    const CrashCorrelator &crashCorrelator = this->context.fleet.crashCorrelator();
    // Usually there are no suspects, and the request need not be hashed.
    if (!crashCorrelator.hasSuspects()
        || !crashCorrelator.isQuarantined(this->contentDigest(), this->now()))
        return true;
    // BackendUnavailable states that this call did not run (earlier requests with the same content
    // did), and permits a retry after the given time.
    this->refuse(ErrorKind::BackendUnavailable, "the request crashes the replicas that run it",
                 quarantineRetry);
    return false;
}

void ForwardedCall::takeQuota()
{
    if (this->team.name.isEmpty() || this->team.requestsPerSecond <= 0) {
        this->openTurnIfNeeded();
        return;
    }
    if (!this->admitIfRecordsReachable())
        return;
    const bool startsProgram =
            this->route.kind == RouteKind::Stream && !this->description.program.isEmpty()
            && this->description.previousTurn.isEmpty()
            && this->description.promptParts.size() <= maximumFirstTurnPromptParts;
    const int priority = this->team.priority.value_or(this->route.priority);
    this->quotaRequest = {this->team, quotaReserve(startsProgram, priority)};
    this->context.quota.take(
            this->quotaRequest, [weakSelf = this->weak_from_this()](const QuotaDecision &decision) {
                const auto self = weakSelf.lock();
                if (!self || self->phase != Phase::Admitting)
                    return;
                if (!decision.admitted) {
                    self->quotaRefused = true;
                    self->refuse(ErrorKind::RateLimited, "the team is over its rate and burst",
                                 decision.retryAfter);
                    return;
                }
                self->quotaHeld = true;
                self->admissionTime = std::chrono::floor<milliseconds>(self->now() - self->arrived);
                self->openTurnIfNeeded();
            });
}

void ForwardedCall::openTurnIfNeeded()
{
    const bool hasBudget = this->description.tokenBudget && !this->description.program.isEmpty();
    const bool continuesTurn =
            this->route.keepsHistory && !this->description.previousTurn.isEmpty();
    if ((hasBudget || this->isTurn()) && !this->admitIfRecordsReachable())
        return;
    this->turnRequest = {this->description.program,
                         this->description.requestId,
                         this->team.name,
                         continuesTurn ? this->description.previousTurn : QByteArray(),
                         hasBudget ? this->description.tokenBudget : std::nullopt,
                         this->description.maximumOutputTokens,
                         this->route.retention};
    if (!hasBudget && !continuesTurn) {
        this->placeCall();
        return;
    }
    this->budgetReserved = hasBudget;
    this->context.turnStore.open(
            this->turnRequest, [weakSelf = this->weak_from_this()](const TurnAdmission &admission) {
                const auto self = weakSelf.lock();
                if (self && self->phase == Phase::Admitting)
                    self->handleTurnAdmission(admission);
            });
}

bool ForwardedCall::admitIfRecordsReachable()
{
    if (!this->context.recordsUnreachableRetryDelay)
        return true;
    this->caller->closeAfterResponse();
    this->refuse(ErrorKind::OwnerUnavailable, "too few records VMs can be reached",
                 *this->context.recordsUnreachableRetryDelay);
    return false;
}

void ForwardedCall::handleTurnAdmission(const TurnAdmission &admission)
{
    switch (admission.outcome) {
    case TurnOutcome::Ready:
        this->history = admission.history;
        this->turnRequest.historyLocation = admission.historyLocation;
        this->placeCall();
        break;
    case TurnOutcome::BudgetExhausted:
        this->refuse(ErrorKind::BudgetExhausted, "the program's token budget is spent",
                     milliseconds(0));
        break;
    case TurnOutcome::UnknownTurn:
        this->refuse(ErrorKind::UnknownProgram, "no turn of the team has this name",
                     milliseconds(0));
        break;
    case TurnOutcome::Unavailable:
        this->refuse(ErrorKind::OwnerUnavailable, "too few records VMs answered",
                     admission.retryAfter);
        break;
    }
}

void ForwardedCall::placeCall()
{
    this->phase = Phase::Placing;
    if (this->deadline.remaining(this->now()) < minimumUsefulTime) {
        this->handleTimeout();
        return;
    }
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
    const auto limit =
            instance == nullptr ? std::nullopt : this->context.fleet.placement().limit(*instance);
    if (limit)
        this->takeReplicaQuota(*instance, *limit);
    else
        this->sendToReplica(*chosen);
}

void ForwardedCall::takeReplicaQuota(const ReplicaInstance &chosen, double requestsPerSecond)
{
    QuotaRequest replicaQuota = replicaQuotaRequest(chosen, requestsPerSecond);
    replicaQuota.reserve = this->quotaRequest.reserve;
    replicaQuota.mayWait = this->waitsForLimit;
    this->context.quota.take(replicaQuota,
                             [weakSelf = this->weak_from_this(), instance = chosen.id, replicaQuota,
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
    this->placeCall();
}

void ForwardedCall::sendToReplica(const QByteArray &instance)
{
    this->connection = this->context.fleet.acquire(instance);
    if (!this->connection) {
        this->excludedInstances.push_back(instance);
        this->placeCall();
        return;
    }
    this->phase = Phase::Sent;
    this->waitsForLimit = false;
    this->limitRetryAfter.reset();
    this->replica = instance;
    this->replicaStartMilliseconds = this->context.fleet.instance(instance)->startMilliseconds;
    this->sentAt = this->now();
    this->lastReplicaActivity = this->sentAt;
    if (!this->timeToFirstSend)
        this->timeToFirstSend = std::chrono::floor<milliseconds>(this->sentAt - this->arrived);
    ++this->possibleRuns;
    this->quotaHeld = false;
    this->context.fleet.placement().callStarted(instance, this->sentAt);

    ReplicaRequestInfo requestInfo;
    requestInfo.instance = instance;
    requestInfo.team = this->team.name;
    requestInfo.timeLeft = this->deadline.remainingForReplica(this->sentAt);
    requestInfo.resumeAfter = this->eventParser.lastId();
    const HttpFields fields = this->context.dialect.fieldsForReplica(this->request, requestInfo);
    QByteArray text = requestHeadText(this->request.method, this->request.target, fields,
                                      this->history.size() + this->request.body.size());
    text += this->history;
    text += this->request.body;

    ReplicaConnection::Hooks hooks;
    const auto weakSelf = this->weak_from_this();
    hooks.matches = [weakSelf](const HttpResponseHead &responseHead) {
        const auto self = weakSelf.lock();
        return self && self->matchesRequest(responseHead);
    };
    hooks.head = [weakSelf](const HttpResponseHead &responseHead) {
        if (const auto self = weakSelf.lock())
            self->handleHead(responseHead);
    };
    hooks.body = [weakSelf](const QByteArray &bytes) {
        if (const auto self = weakSelf.lock())
            self->handleBody(bytes);
    };
    hooks.complete = [weakSelf] {
        if (const auto self = weakSelf.lock())
            self->handleComplete();
    };
    hooks.failed = [weakSelf](ExchangeFailure reason) {
        if (const auto self = weakSelf.lock())
            self->handleFailure(reason);
    };
    this->activityTimer = this->context.timers.after(inactivityBeforeProbe,
                                                     [this] { this->checkReplicaActivity(); });
    this->connection->exchange(text, this->request.method == "HEAD", std::move(hooks));
}

void ForwardedCall::checkReplicaActivity()
{
    const auto inactivity = this->now() - this->lastReplicaActivity;
    if (!this->connection || this->probing)
        return;
    if (inactivity < inactivityBeforeProbe) {
        this->activityTimer = this->context.timers.after(
                std::chrono::ceil<milliseconds>(inactivityBeforeProbe - inactivity),
                [this] { this->checkReplicaActivity(); });
        return;
    }
    this->probing = true;
    const TimerService::SteadyTime probedSendTime = this->sentAt;
    this->context.fleet.probe(this->replica, [weakSelf = this->weak_from_this(),
                                              probedSendTime](bool reachable) {
        const auto self = weakSelf.lock();
        if (!self)
            return;
        self->probing = false;
        const bool sameSend = self->connection && self->sentAt == probedSendTime;
        const bool stillInactive = self->now() - self->lastReplicaActivity >= inactivityBeforeProbe;
        if (sameSend && stillInactive && !reachable) {
            self->handleFailure(ExchangeFailure::Unreachable);
            return;
        }
        if (!self->connection)
            return;
        self->activityTimer = self->context.timers.after(
                inactivityBeforeProbe, [rawSelf = self.get()] { rawSelf->checkReplicaActivity(); });
    });
}

void ForwardedCall::schedulePlacementRetry()
{
    if (!this->waitsForLimit
        && this->context.fleet.placement().hasReachedLimits(this->service, this->now())) {
        this->waitsForLimit = true;
        this->placeCall();
        return;
    }
    if (this->limitRetryAfter) {
        this->refuse(ErrorKind::Overloaded, "every replica is at the limit that it named",
                     *this->limitRetryAfter);
        return;
    }
    // No replica is left: each one refused or could not be connected to, or none is known. Replicas
    // at capacity may have capacity again soon.
    if (this->rejections == 0 && this->possibleRuns == 0 && this->placementRounds > 0) {
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

bool ForwardedCall::mayRetry() const
{
    return this->route.isRepeatable() && this->possibleRuns < this->route.attempts;
}

QByteArray ForwardedCall::contentDigest() const
{
    QCryptographicHash hash(QCryptographicHash::Sha1);
    hash.addData(this->team.name);
    hash.addData(this->request.target);
    hash.addData(this->request.body);
    return hash.result();
}

bool ForwardedCall::isTurn() const
{
    return this->route.kind == RouteKind::Stream && this->route.keepsHistory;
}

std::int64_t ForwardedCall::deliveredTokens() const
{
    return this->eventParser.count() * this->tokensPerEvent;
}

TimerService::SteadyTime ForwardedCall::now() const
{
    return this->context.timers.now();
}

} // namespace lacewingmux

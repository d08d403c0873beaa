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
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds noConfigurationRetry{300}; // a few calls to the platform's store
constexpr milliseconds quarantineRetry{30000};
constexpr milliseconds otherVmRetry{50};        // a new connection leads to another VM
constexpr milliseconds noReplicaRetry{400};     // about the time in which a replica registers
constexpr milliseconds firstPlacementPause{15}; // about half of a tool call
constexpr milliseconds longestPlacementPause{120};
// Plain calls and the gaps of streams are far shorter; below it a probe would find slow replicas.
constexpr milliseconds silenceBeforeProbe{600};
constexpr std::size_t firstTurnParts = 2;   // what programs share, and the turn's own
constexpr milliseconds leastUsefulTime{20}; // below it no replica can answer any call in time

/** Returns the service that gets the request; the same one whenever the request comes again. */
QByteArray pickTarget(const GatewayRoute &route, const QByteArray &subject)
{
    if (route.targets.empty())
        return {};
    int total = 0;
    for (const RouteTarget &target : route.targets)
        total += target.weight;
    if (total <= 0)
        return route.targets.front().service;
    auto place = static_cast<int>(stableHash(subject) % static_cast<std::uint64_t>(total));
    for (const RouteTarget &target : route.targets) {
        if (place < target.weight)
            return target.service;
        place -= target.weight;
    }
    return route.targets.back().service;
}

} // namespace

ForwardedCall::ForwardedCall(const GatewayServices &gatewayServices,
                             std::shared_ptr<IngressConnection> callerConnection,
                             HttpRequest callerRequest, std::function<void()> endedHook)
    : services(gatewayServices)
    , caller(std::move(callerConnection))
    , request(std::move(callerRequest))
    , ended(std::move(endedHook))
    , arrived(gatewayServices.timers.now())
{ }

ForwardedCall::~ForwardedCall()
{
    if (this->connection)
        this->leaveReplica();
}

void ForwardedCall::begin()
{
    this->description = this->services.dialect.parseRequest(this->request);
    if (!this->services.takesRequests) {
        this->refuse(ErrorKind::ShuttingDown, "this VM is stopping", otherVmRetry);
        return;
    }
    if (this->services.table == nullptr) {
        this->refuse(ErrorKind::StoreUnavailable, "no configuration is known yet",
                     noConfigurationRetry);
        return;
    }
    if (!this->findRoute() || !this->authenticate() || !this->isHarmless())
        return;
    this->deadline = CallDeadline(this->arrived, this->description.timeLeft, this->route.timeout);
    this->timeout = this->services.timers.after(this->deadline.left(this->now()),
                                                [this] { this->handleTimeout(); });
    this->takeQuota();
}

bool ForwardedCall::findRoute()
{
    const QByteArray &target = this->request.target;
    const qsizetype query = target.indexOf('?');
    const QByteArray path = query < 0 ? target : target.left(query);
    const GatewayRoute *found = this->services.table->route(this->description.host, path);
    if (found == nullptr) {
        this->refuse(ErrorKind::UnknownRoute, "no route of the host has this path",
                     milliseconds(0));
        return false;
    }
    this->route = *found;
    this->service = pickTarget(this->route, this->description.session.isEmpty()
                                                    ? this->description.requestId
                                                    : this->description.session);
    if (const GatewayService *known = this->services.table->service(this->service)) {
        this->forEngine = known->isEngine;
        this->tokensPerEvent = known->tokensPerEvent;
    }
    return true;
}

bool ForwardedCall::authenticate()
{
    if (!this->services.table->hasTeams() || this->route.isPublic)
        return true;
    const GatewayTeam *found = this->services.table->teamOfKey(this->description.key);
    if (found == nullptr) {
        this->refuse(ErrorKind::Unauthenticated, "no team holds this key", milliseconds(0));
        return false;
    }
    this->team = *found;
    return true;
}

bool ForwardedCall::isHarmless()
{
    const CrashSuspicions &suspicions = this->services.fleet.suspicions();
    // Nothing is held as a rule, and then the request need not be hashed.
    if (!suspicions.holdsAny() || !suspicions.isQuarantined(this->contentDigest(), this->now()))
        return true;
    // As "not run", which is true, and with a time after which it would be tried again.
    this->refuse(ErrorKind::BackendUnavailable, "the request crashes the replicas that run it",
                 quarantineRetry);
    return false;
}

void ForwardedCall::takeQuota()
{
    if (this->team.name.isEmpty() || this->team.requestsPerSecond <= 0) {
        this->openTurn();
        return;
    }
    if (!this->canReachRecords())
        return;
    const bool startsProgram = this->route.kind == RouteKind::Stream
                               && !this->description.program.isEmpty()
                               && this->description.previousTurn.isEmpty()
                               && this->description.promptParts.size() <= firstTurnParts;
    const int priority = this->team.priority.value_or(this->route.priority);
    this->quotaRequest = {this->team, quotaReserve(startsProgram, priority)};
    this->services.quota.take(
            this->quotaRequest, [guard = this->weak_from_this()](const QuotaDecision &answer) {
                const auto self = guard.lock();
                if (!self || self->phase != Phase::Admitting)
                    return;
                if (!answer.admitted) {
                    self->quotaRefused = true;
                    self->refuse(ErrorKind::RateLimited, "the team is over its rate and burst",
                                 answer.retryAfter);
                    return;
                }
                self->quotaTaken = true;
                self->untilAdmitted = std::chrono::floor<milliseconds>(self->now() - self->arrived);
                self->openTurn();
            });
}

void ForwardedCall::openTurn()
{
    const bool budgeted = this->description.tokenBudget && !this->description.program.isEmpty();
    const bool chained = this->route.keepsHistory && !this->description.previousTurn.isEmpty();
    if ((budgeted || this->isTurn()) && !this->canReachRecords())
        return;
    this->opening = {this->description.program,
                     this->description.requestId,
                     this->team.name,
                     chained ? this->description.previousTurn : QByteArray(),
                     budgeted ? this->description.tokenBudget : std::nullopt,
                     this->description.maximumOutputTokens,
                     this->route.retention};
    if (!budgeted && !chained) {
        this->place();
        return;
    }
    this->reserved = budgeted;
    this->services.ledger.open(this->opening,
                               [guard = this->weak_from_this()](const TurnAdmission &start) {
                                   const auto self = guard.lock();
                                   if (self && self->phase == Phase::Admitting)
                                       self->turnOpened(start);
                               });
}

bool ForwardedCall::canReachRecords()
{
    if (!this->services.detour)
        return true;
    this->caller->closeAfterAnswer();
    this->refuse(ErrorKind::OwnerUnavailable, "too few records VMs can be reached",
                 *this->services.detour);
    return false;
}

void ForwardedCall::turnOpened(const TurnAdmission &start)
{
    switch (start.outcome) {
    case TurnOutcome::Ready:
        this->history = start.history;
        this->place();
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
        this->refuse(ErrorKind::OwnerUnavailable, "too few records VMs answered", start.retryAfter);
        break;
    }
}

void ForwardedCall::place()
{
    this->phase = Phase::Placing;
    if (this->deadline.left(this->now()) < leastUsefulTime) {
        this->handleTimeout();
        return;
    }
    PlacementRequest wanted;
    wanted.service = this->service;
    wanted.forEngine = this->forEngine;
    wanted.promptParts = this->description.promptParts;
    wanted.affinityKey = this->route.sticky ? this->description.affinityKey : QByteArray();
    wanted.avoided = this->avoided;
    wanted.now = this->now();
    const std::optional<QByteArray> chosen = this->services.fleet.placement().choose(wanted);
    if (chosen)
        this->sendTo(*chosen);
    else
        this->retryLater();
}

void ForwardedCall::sendTo(const QByteArray &instance)
{
    this->connection = this->services.fleet.acquire(instance);
    if (!this->connection) {
        this->avoided.push_back(instance);
        this->place();
        return;
    }
    this->phase = Phase::Sent;
    this->replica = instance;
    this->sentAt = this->now();
    this->lastHeard = this->sentAt;
    if (!this->untilSent)
        this->untilSent = std::chrono::floor<milliseconds>(this->sentAt - this->arrived);
    ++this->runs;
    this->quotaTaken = false;
    this->services.fleet.placement().started(instance, this->sentAt);

    ReplicaRequestInfo send;
    send.instance = instance;
    send.team = this->team.name;
    send.timeLeft = this->deadline.leftForReplica(this->sentAt);
    send.resumeAfter = this->events.lastId();
    const HttpFields fields = this->services.dialect.fieldsForReplica(this->request, send);
    QByteArray text = requestHeadText(this->request.method, this->request.target, fields,
                                      this->history.size() + this->request.body.size());
    text += this->history;
    text += this->request.body;

    ReplicaConnection::Hooks hooks;
    const auto guard = this->weak_from_this();
    hooks.belongs = [guard](const HttpResponseHead &answer) {
        const auto self = guard.lock();
        return self && self->belongs(answer);
    };
    hooks.head = [guard](const HttpResponseHead &answer) {
        if (const auto self = guard.lock())
            self->handleHead(answer);
    };
    hooks.body = [guard](const QByteArray &bytes) {
        if (const auto self = guard.lock())
            self->handleBody(bytes);
    };
    hooks.complete = [guard] {
        if (const auto self = guard.lock())
            self->handleComplete();
    };
    hooks.failed = [guard](ExchangeFailure reason) {
        if (const auto self = guard.lock())
            self->handleFailure(reason);
    };
    this->silenceWatch =
            this->services.timers.after(silenceBeforeProbe, [this] { this->watchSilence(); });
    this->connection->exchange(text, this->request.method == "HEAD", std::move(hooks));
}

void ForwardedCall::watchSilence()
{
    const auto silent = this->now() - this->lastHeard;
    if (!this->connection || this->probing)
        return;
    if (silent < silenceBeforeProbe) {
        this->silenceWatch = this->services.timers.after(
                std::chrono::ceil<milliseconds>(silenceBeforeProbe - silent),
                [this] { this->watchSilence(); });
        return;
    }
    this->probing = true;
    const TimerService::SteadyTime asked = this->sentAt;
    this->services.fleet.probe(
            this->replica, [guard = this->weak_from_this(), asked](bool reachable) {
                const auto self = guard.lock();
                if (!self)
                    return;
                self->probing = false;
                const bool sameSend = self->connection && self->sentAt == asked;
                const bool stillSilent = self->now() - self->lastHeard >= silenceBeforeProbe;
                if (sameSend && stillSilent && !reachable) {
                    self->handleFailure(ExchangeFailure::Unreachable);
                    return;
                }
                if (!self->connection)
                    return;
                self->silenceWatch = self->services.timers.after(
                        silenceBeforeProbe, [call = self.get()] { call->watchSilence(); });
            });
}

void ForwardedCall::retryLater()
{
    // Every replica has refused or none is known. Those that are full may have room again soon.
    if (this->rejections == 0 && this->runs == 0 && this->rounds > 0) {
        this->refuse(ErrorKind::BackendUnavailable, "the service has no replica", noReplicaRetry);
        return;
    }
    const milliseconds pause =
            std::min(longestPlacementPause, firstPlacementPause * (1 << std::min(this->rounds, 3)));
    if (this->deadline.left(this->now()) < pause + leastUsefulTime) {
        this->refuse(ErrorKind::Overloaded, "every replica is full", noReplicaRetry);
        return;
    }
    ++this->rounds;
    this->avoided.clear();
    this->retry = this->services.timers.after(pause, [this] { this->place(); });
}

bool ForwardedCall::mayRunAgain() const
{
    return this->route.isRepeatable() && this->runs < this->route.attempts;
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

std::int64_t ForwardedCall::tokensHandedOut() const
{
    return this->events.count() * this->tokensPerEvent;
}

TimerService::SteadyTime ForwardedCall::now() const
{
    return this->services.timers.now();
}

} // namespace lacewingmux

#include "lacewingmux_gateway/forwarding/ForwardedCall.h"

#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/http/MemoryAccount.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// The configuration is read from the platform's store within a few calls.
constexpr milliseconds noConfigurationRetry{300};
constexpr milliseconds longHistoryRetry{300}; // a call holds its history for about as long
// Shorter histories are not counted: there are many, and most are cached anyway.
constexpr qsizetype longHistoryBytes = qsizetype{1024} * 1024;
constexpr const char *conversationTooLong = "the conversation is longer than the VM can hold";

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
    if (this->phase != Phase::Ended) {
        this->endReason = "the VM has stopped";
        this->recordOutcome("brokenOff");
    }
    this->abortExchange(ReplicaAttempt::cancelled);
    this->releaseResponseMemory();
    this->releaseHistoryMemory();
}

void ForwardedCall::begin()
{
    this->description = this->context.dialect.parseRequest(this->request);
    if (this->context.table == nullptr) {
        this->refuse(ErrorKind::StoreUnavailable, "no configuration is known yet",
                     noConfigurationRetry);
        return;
    }
    if (this->findRoute() && this->authenticate() && this->admitUnlessQuarantined())
        this->admit();
}

void ForwardedCall::admit()
{
    if (!this->admitIfStoredWhole())
        return;
    this->deadline = CallDeadline(this->arrived, this->description.timeLeft, this->route.timeout);
    this->deadlineTimer = this->context.timers.after(this->deadline.remaining(this->now()),
                                                     [this] { this->handleDeadline(); });
    if (this->admitIfEndsBeforeStop() && this->admitProgram())
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
    if (this->route.resumable)
        this->delivered = DeliveredStream(this->description.lastEventId);
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

void ForwardedCall::takeQuota()
{
    if (this->team.name.isEmpty() || this->team.requestsPerSecond <= 0) {
        this->openTurnIfNeeded();
        return;
    }
    if (!this->admitIfRecordsReachable())
        return;
    this->quotaRequest = {this->team, quotaReserve(this->startsProgram(), this->level())};
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
    if (this->isTurn() && this->request.body.size() > TurnStore::maximumTurnBytes) {
        this->refuse(ErrorKind::BodyTooLarge, "the turn is too long to be kept", milliseconds(0));
        return;
    }
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
                         this->route.retention,
                         std::nullopt,
                         this->deadline.responseDue()};
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
        if (!this->holdHistory(admission.history))
            break;
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
    case TurnOutcome::HistoryTooLong:
        this->refuse(ErrorKind::BodyTooLarge, conversationTooLong, milliseconds(0));
        break;
    case TurnOutcome::Unavailable:
        this->refuse(ErrorKind::OwnerUnavailable, "too few records VMs answered",
                     admission.retryAfter);
        break;
    }
}

bool ForwardedCall::holdHistory(const QByteArray &bytes)
{
    if (!bytes.isEmpty()
        && bytes.size() + this->request.body.size() > this->context.maximumConversationBytes) {
        this->refuse(ErrorKind::BodyTooLarge, conversationTooLong, milliseconds(0));
        return false;
    }
    this->accountedHistoryBytes = bytes.size() > longHistoryBytes ? bytes.size() : 0;
    if (!this->context.historyMemory.resize(0, this->accountedHistoryBytes)) {
        this->refuse(ErrorKind::Overloaded, "long conversations take the memory for histories",
                     longHistoryRetry);
        return false;
    }
    this->history = bytes;
    return true;
}

void ForwardedCall::releaseHistoryMemory()
{
    const qsizetype before = std::exchange(this->accountedHistoryBytes, 0);
    std::ignore = this->context.historyMemory.resize(before, 0);
}

int ForwardedCall::countedRuns() const
{
    return this->possibleRuns - this->uncountedRuns;
}

bool ForwardedCall::mayRetry() const
{
    return this->route.isRepeatable() && this->countedRuns() < this->route.attempts;
}

bool ForwardedCall::isTurn() const
{
    return this->route.kind == RouteKind::Stream && this->route.keepsHistory;
}

std::int64_t ForwardedCall::deliveredTokens() const
{
    return this->delivered.count() * this->tokensPerEvent;
}

TimerService::SteadyTime ForwardedCall::now() const
{
    return this->context.timers.now();
}

} // namespace lacewingmux

#include "lacewingmux_program/claims/RequestClaim.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

namespace lacewingmux {

namespace {

constexpr QChar keySeparator = u'\n';

[[noreturn]] void throwInvalidEvent()
{
    throw LacewingmuxError(ErrorKind::InternalError,
                           QStringLiteral("impossible event of a request claim"));
}

} // namespace

AggregateId claimAggregate(const QString &zone, const QString &team, const QString &idempotencyKey)
{
    return {AggregateKind::RequestClaim, zone, team + keySeparator + idempotencyKey};
}

void RequestClaim::apply(const ProgramEvent &event)
{
    if (const auto *started = std::get_if<CallStarted>(&event); started && !this->recordedCall)
        this->recordedCall = RecordedCall{*started, std::nullopt};
    else if (const auto *finished = std::get_if<CallFinished>(&event);
             finished && this->isRunning())
        this->recordedCall->finish = *finished;
    else if (std::holds_alternative<CallReleased>(event) && this->isRunning())
        this->recordedCall.reset();
    else
        throwInvalidEvent();
}

CallDecision RequestClaim::decide(const CallCommand &command, EventTime now) const
{
    if (this->recordedCall) {
        if (this->recordedCall->start.digest != command.digest)
            return CallDecision::refuse(
                    ErrorKind::CallConflict,
                    QStringLiteral("the idempotency key came before with a different content"));
        return CallDecision::of(this->recordedCall->finish ? CallAction::Replay : CallAction::Join);
    }
    auto decision = CallDecision::of(CallAction::Start);
    CallStarted started;
    started.digest = command.digest;
    started.route = command.route;
    started.keyId = command.keyId;
    started.model = command.model;
    started.idempotent = false;
    started.maxOutputTokens = command.maxOutputTokens;
    started.method = command.method;
    started.path = command.path;
    started.at = now;
    decision.started = started;
    return decision;
}

ProgramEvent RequestClaim::decideOutcome(const DispatchResult &result, EventTime now) const
{
    if (!this->isRunning())
        throwInvalidEvent();
    if (!result.completed && result.executed == Executed::No)
        return CallReleased{0, 0, Executed::No, 0, now};
    CallFinished finish;
    finish.completed = result.completed;
    finish.error = result.error;
    finish.message = result.errorMessage;
    finish.executed = result.completed ? Executed::Yes : result.executed;
    finish.httpStatus = result.httpStatus;
    finish.headers = result.headers;
    finish.body = PackedBytes::pack(result.body);
    finish.replica = result.replica;
    finish.zone = result.zone;
    finish.at = now;
    return finish;
}

std::optional<CallFinished> RequestClaim::decideTakeover(EventTime now) const
{
    if (!this->isRunning())
        return std::nullopt;
    CallFinished finish;
    finish.error = ErrorKind::ExecutionUnknown;
    finish.message = QStringLiteral("the VM that ran the request was lost");
    finish.executed = Executed::Unknown;
    finish.at = now;
    return finish;
}

std::optional<EventTime> RequestClaim::expiry(std::chrono::hours retention) const
{
    if (!this->recordedCall || !this->recordedCall->finish)
        return std::nullopt;
    return this->recordedCall->finish->at + retention;
}

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_program/dispatch/DispatchResult.h"
#include "lacewingmux_program/events/ProgramEvent.h"
#include "lacewingmux_program/programs/CallCommand.h"
#include "lacewingmux_program/programs/CallDecision.h"
#include "lacewingmux_program/programs/RecordedCall.h"

#include <chrono>
#include <optional>

namespace lacewingmux {

/** The longest idempotency key that is accepted, in characters. */
inline constexpr qsizetype maximumIdempotencyKeyLength = 255;

/** Returns the id of the claim for a team's idempotency key; the team is empty on open routes. */
[[nodiscard]] AggregateId claimAggregate(const QString &zone, const QString &team,
                                         const QString &idempotencyKey);

/**
    The claim of a non-idempotent request outside a program, identified by the team and the
    idempotency key of the request. The request runs at most once: the claim is committed before the
    request is dispatched, and after a takeover the new owner never runs a request whose claim has
    no outcome.

    Like Program, it is a pure state machine: the decide functions return events, and apply changes
    the state.
*/
class RequestClaim
{
public:
    /** Applies CallStarted, CallFinished or CallReleased; throws LacewingmuxError for others. */
    void apply(const ProgramEvent &event);

    /** Returns whether nothing is claimed. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return !this->recordedCall.has_value();
    }
    [[nodiscard]] bool isRunning() const noexcept
    {
        return this->recordedCall && !this->recordedCall->finish;
    }

    /** Returns the claimed request and its outcome. There must be one. */
    [[nodiscard]] const RecordedCall &call() const
    {
        return *this->recordedCall;
    }

    /** Decides how to handle a request with this claim's key. */
    [[nodiscard]] CallDecision decide(const CallCommand &command, EventTime now) const;

    /** Returns the event for the end of the run: an outcome, or a release if it did not run. */
    [[nodiscard]] ProgramEvent decideOutcome(const DispatchResult &result, EventTime now) const;

    /** After a takeover, returns the outcome "unknown" for a claim without an outcome. */
    [[nodiscard]] std::optional<CallFinished> decideTakeover(EventTime now) const;

    /** Returns when the claim may be removed; empty while its request is running. */
    [[nodiscard]] std::optional<EventTime> expiry(std::chrono::hours retention) const;

private:
    std::optional<RecordedCall> recordedCall;
};

} // namespace lacewingmux

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

/** Returns the id of the claim of a team's idempotency key; the team is empty on open routes. */
[[nodiscard]] AggregateId claimAggregate(const QString &zone, const QString &team,
                                         const QString &idempotencyKey);

/**
    A non-idempotent request outside a program, named by its team and its idempotency key. It runs
    at most once: the claim is committed before the request is dispatched, and a claim without an
    outcome is never run by whoever takes over.

    Pure, like Program: decide functions return events, apply takes them in.
*/
class RequestClaim
{
public:
    /** Takes CallStarted, CallFinished or CallReleased; throws LacewingmuxError for others. */
    void apply(const ProgramEvent &event);

    /** Tells whether nothing is claimed. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return !this->known.has_value();
    }
    [[nodiscard]] bool isRunning() const noexcept
    {
        return this->known && !this->known->finish;
    }

    /** Returns the claimed request and its outcome. There must be one. */
    [[nodiscard]] const RecordedCall &request() const
    {
        return *this->known;
    }

    /** Decides what becomes of a request with this claim's key. */
    [[nodiscard]] CallDecision decide(const CallCommand &command, EventTime now) const;

    /** Decides what the end of the run means: an outcome, or a release when it did not run. */
    [[nodiscard]] ProgramEvent decideOutcome(const DispatchResult &result, EventTime now) const;

    /** Decides, at a takeover, about a claim without an outcome: it gets the outcome "unknown". */
    [[nodiscard]] std::optional<CallFinished> decideTakeover(EventTime now) const;

    /** Returns when the claim may be forgotten; nothing while it runs. */
    [[nodiscard]] std::optional<EventTime> expiry(std::chrono::hours retention) const;

private:
    std::optional<RecordedCall> known;
};

} // namespace lacewingmux

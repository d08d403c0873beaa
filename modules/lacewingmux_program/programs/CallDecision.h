#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_program/events/CallStarted.h"

#include <QString>

#include <cstdint>
#include <optional>

namespace lacewingmux {

/** What the owner does with a call that it receives. */
enum class CallAction : std::uint8_t {
    Start,  ///< journal the event and dispatch the call
    Wait,   ///< queue the call until the earlier calls of the agent have finished
    Join,   ///< the same call is running: wait for its outcome
    Replay, ///< the call has an outcome: respond with it
    Refuse  ///< respond with the refusal; the call does not run
};

/** The decision of an aggregate about one call. */
struct CallDecision
{
    CallAction action = CallAction::Refuse;
    std::optional<CallStarted> started; ///< for Start
    ErrorKind refusal = ErrorKind::InternalError;
    QString reason;
    std::optional<ErrorKind> endProgram; ///< set when a limit was reached that ends the program

    [[nodiscard]] static CallDecision refuse(ErrorKind kind, const QString &text)
    {
        CallDecision decision;
        decision.refusal = kind;
        decision.reason = text;
        return decision;
    }

    [[nodiscard]] static CallDecision of(CallAction chosenAction)
    {
        CallDecision decision;
        decision.action = chosenAction;
        return decision;
    }
};

} // namespace lacewingmux

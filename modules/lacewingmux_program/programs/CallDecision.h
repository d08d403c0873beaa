#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_program/events/CallStarted.h"

#include <QString>

#include <cstdint>
#include <optional>

namespace lacewingmux {

/** What is to be done with a call that arrives. */
enum class CallAction : std::uint8_t {
    Start,  ///< journal the event and dispatch the call
    Wait,   ///< an earlier call of the same agent has to finish first
    Join,   ///< the same call runs already: wait for its outcome
    Replay, ///< the call has its outcome: answer with it
    Refuse  ///< answer with the refusal; the call does not run
};

/** The decision of an aggregate about one call. */
struct CallDecision
{
    CallAction action = CallAction::Refuse;
    std::optional<CallStarted> started; ///< for Start
    ErrorKind refusal = ErrorKind::InternalError;
    QString reason;
    std::optional<ErrorKind> endProgram; ///< a limit was reached that ends the program

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

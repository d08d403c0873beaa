#pragma once

#include "lacewingmux_core/errors/ErrorKind.h"
#include "lacewingmux_program/events/EventTime.h"
#include "lacewingmux_program/events/SubAgentOpened.h"

namespace lacewingmux {

/** An agent and all sub-agents below it ended; for agent 0, the whole program. */
struct ProgramEnded
{
    AgentIndex agent = 0;
    ErrorKind reason = ErrorKind::ProgramEnded; ///< error that later calls are refused with
    EventTime at;

    friend bool operator==(const ProgramEnded &, const ProgramEnded &) = default;
};

} // namespace lacewingmux

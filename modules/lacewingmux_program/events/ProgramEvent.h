#pragma once

#include "lacewingmux_program/events/CallFinished.h"
#include "lacewingmux_program/events/CallReleased.h"
#include "lacewingmux_program/events/CallStarted.h"
#include "lacewingmux_program/events/MemoryReleased.h"
#include "lacewingmux_program/events/ProgramEnded.h"
#include "lacewingmux_program/events/ProgramOpened.h"
#include "lacewingmux_program/events/SubAgentOpened.h"

#include <variant>

namespace lacewingmux {

/** Any change of a program. A RequestClaim uses only the three events of a call. */
using ProgramEvent = std::variant<ProgramOpened, SubAgentOpened, CallStarted, CallFinished,
                                  CallReleased, ProgramEnded, MemoryReleased>;

} // namespace lacewingmux

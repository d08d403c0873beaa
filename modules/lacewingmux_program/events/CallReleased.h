#pragma once

#include "lacewingmux_core/errors/Executed.h"
#include "lacewingmux_program/events/EventTime.h"
#include "lacewingmux_program/events/SubAgentOpened.h"

#include <cstdint>

namespace lacewingmux {

/**
    A run of a call ended without an outcome being recorded, so that the call may be retried under
    its number: it did not run, or it is idempotent and failed.
*/
struct CallReleased
{
    AgentIndex agent = 0;
    std::uint32_t number = 0;
    Executed executed = Executed::No; ///< whether the failed run was executed, as far as known
    std::int64_t chargedTokens = 0;   ///< tokens that the failed run reported
    EventTime at;

    friend bool operator==(const CallReleased &, const CallReleased &) = default;
};

} // namespace lacewingmux

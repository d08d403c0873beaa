#pragma once

#include "lacewingmux_program/events/EventTime.h"
#include "lacewingmux_program/events/SubAgentOpened.h"

namespace lacewingmux {

/** All engines have confirmed that they hold no memory for the ended agent. */
struct MemoryReleased
{
    AgentIndex agent = 0;
    EventTime at;

    friend bool operator==(const MemoryReleased &, const MemoryReleased &) = default;
};

} // namespace lacewingmux

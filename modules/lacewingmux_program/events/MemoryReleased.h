#pragma once

#include "lacewingmux_program/events/EventTime.h"
#include "lacewingmux_program/events/SubAgentOpened.h"

namespace lacewingmux {

/** All engines have confirmed that they hold nothing for the ended agent any more. */
struct MemoryReleased
{
    AgentIndex agent = 0;
    EventTime at;

    friend bool operator==(const MemoryReleased &, const MemoryReleased &) = default;
};

} // namespace lacewingmux

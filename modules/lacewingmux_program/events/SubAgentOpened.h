#pragma once

#include "lacewingmux_program/events/EventTime.h"

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** Number of an agent within its program: 0 is the root, then the sub-agents as they opened. */
using AgentIndex = std::uint16_t;

/** A sub-agent joined the program; it shares the root's budget and ends with it. */
struct SubAgentOpened
{
    QString subAgent; ///< text of the MintedId, in the same slot as the root's
    AgentIndex parent = 0;
    EventTime at;

    friend bool operator==(const SubAgentOpened &, const SubAgentOpened &) = default;
};

} // namespace lacewingmux

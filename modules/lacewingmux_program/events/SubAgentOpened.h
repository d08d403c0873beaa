#pragma once

#include "lacewingmux_program/events/EventTime.h"

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** Index of an agent in its program: 0 is the root, then the sub-agents in opening order. */
using AgentIndex = std::uint16_t;

/** A sub-agent was added; it shares the root's budget and ends with its parent. */
struct SubAgentOpened
{
    QString subAgent; ///< text form of a MintedId in the same slot as the root's
    AgentIndex parent = 0;
    EventTime at;

    friend bool operator==(const SubAgentOpened &, const SubAgentOpened &) = default;
};

} // namespace lacewingmux

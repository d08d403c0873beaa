#pragma once

#include "lacewingmux_program/events/EventTime.h"

#include <QString>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** A program was opened, with the limits of its team's plan at that time. */
struct ProgramOpened
{
    QString program; ///< text form of a MintedId
    QString team;    ///< empty on open routes
    QString keyId;
    std::int64_t budgetTokens = 0; ///< for the program and its sub-agents; 0 means no limit
    std::int32_t turnLimit = 0;    ///< calls of the program and its sub-agents; 0 means no limit
    std::chrono::seconds timeout{0};
    std::chrono::seconds idleTimeout{0};
    std::int64_t chargedTokens = 0; ///< for released calls that a compaction removed
    EventTime at;

    friend bool operator==(const ProgramOpened &, const ProgramOpened &) = default;
};

} // namespace lacewingmux

#pragma once

#include <chrono>
#include <optional>

namespace lacewingmux {

/** The properties of one call that TurnPriority uses. */
struct TurnPriorityRequest
{
    bool isStream = false;      ///< a turn, rather than a plain call
    bool inProgram = false;     ///< a turn or a tool call of a program
    bool startsProgram = false; ///< the program's first turn
    int level = 0;              ///< of the team or the route; 0 is the most urgent
    std::optional<std::chrono::milliseconds> programTimeLeft; ///< negative once the target passed
    std::chrono::milliseconds expectedTime{0};                ///< of this call; 0 if unknown
    std::chrono::milliseconds waited{0};                      ///< since the call arrived first
};

} // namespace lacewingmux

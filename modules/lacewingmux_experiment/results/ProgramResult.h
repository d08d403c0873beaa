#pragma once

#include <chrono>
#include <cstddef>

namespace lacewingmux::experiment {

/** What became of one root program. */
struct ProgramResult
{
    std::size_t classIndex = 0;
    std::size_t teamIndex = 0;
    bool completed = false;
    bool poisoned = false;
    std::chrono::microseconds makespan{0}; ///< to the end of the run when not completed
    std::chrono::microseconds alone{0};    ///< see latencyAlone()
    std::chrono::microseconds pauses{0};   ///< of the makespan, the tool pauses
};

} // namespace lacewingmux::experiment

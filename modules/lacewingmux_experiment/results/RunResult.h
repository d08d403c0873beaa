#pragma once

#include "lacewingmux_experiment/results/ProgramResult.h"

#include <cstdint>
#include <vector>

namespace lacewingmux::experiment {

/** What one run, of one policy with one seed, measured. */
struct RunResult
{
    std::vector<ProgramResult> programs;
    std::int64_t recomputedTokens = 0;
    double pausedTokenSeconds = 0; ///< memory held by programs between two calls
    double endedTokenSeconds = 0;  ///< memory held by programs that have ended
    std::int64_t calls = 0;        ///< first tries and resends by callers
    std::int64_t callsWithinRate = 0;
    std::int64_t refusalsWithinRate = 0; ///< at the queue, of teams within their rate
    std::int64_t failures = 0;           ///< calls that failed after their retries
    std::int64_t crashes = 0;
};

} // namespace lacewingmux::experiment

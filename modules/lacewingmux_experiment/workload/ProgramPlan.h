#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux::experiment {

struct ProgramPlan;

/** One call of a program and the pause after it. */
struct TurnPlan
{
    std::int64_t newTokens = 0; ///< of the prompt, beyond the history
    std::int64_t outputTokens = 0;
    std::chrono::microseconds pauseAfter{0};
    std::vector<ProgramPlan> helpers; ///< run during the pause; the next turn waits for them
};

/** A program as it will unfold; the decisions never see it. */
struct ProgramPlan
{
    std::chrono::microseconds arrival{0};
    std::size_t classIndex = 0;
    std::size_t teamIndex = 0;
    std::size_t poolIndex = 0;
    std::size_t vmIndex = 0;
    bool poisoned = false; ///< whether its first call crashes each replica that runs it
    std::vector<TurnPlan> turns;
};

} // namespace lacewingmux::experiment

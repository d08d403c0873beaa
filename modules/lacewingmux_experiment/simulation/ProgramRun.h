#pragma once

#include "lacewingmux_experiment/simulation/PrefixCache.h"
#include "lacewingmux_experiment/simulation/VmCall.h"
#include "lacewingmux_experiment/workload/ProgramPlan.h"

#include <chrono>

namespace lacewingmux::experiment {

/** The state of a program, or of a helper, that runs. */
struct ProgramRun
{
    const ProgramPlan *plan = nullptr;
    ProgramRun *root = nullptr;   ///< itself for a root program
    ProgramRun *parent = nullptr; ///< null for a root program
    ProgramNumber number = 0;
    std::size_t turn = 0;
    std::int64_t historyTokens = 0;
    std::int64_t attainedTokens = 0; ///< of a root, its helpers included
    int helpersRunning = 0;
    int failures = 0;
    bool pausing = false;
    bool ended = false;
    TimerService::SteadyTime startedAt;
    TimerService::SteadyTime pausedAt;
    VmCall lastCall;
};

} // namespace lacewingmux::experiment

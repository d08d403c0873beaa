#pragma once

#include "lacewingmux_experiment/policy/Policy.h"
#include "lacewingmux_experiment/results/ScenarioResult.h"

#include <cstdint>
#include <vector>

namespace lacewingmux::experiment {

/** Which seeds to run, and on how many threads. */
struct ExperimentSettings
{
    std::uint64_t firstSeed = 1;
    int seeds = 10;
    int jobs = 2;
};

/** Runs every policy with every seed in a scenario. The result doesn't depend on the threads. */
[[nodiscard]] ScenarioResult runScenario(const Workload &workload,
                                         const std::vector<Policy> &policies,
                                         const ExperimentSettings &settings);

} // namespace lacewingmux::experiment

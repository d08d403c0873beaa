#pragma once

#include "lacewingmux_experiment/results/RunResult.h"
#include "lacewingmux_experiment/workload/Workload.h"

#include <vector>

namespace lacewingmux::experiment {

/** Median and 95th percentile of the makespan of some programs, in seconds. */
struct LatencyMeasure
{
    double median = 0;
    double percentile95 = 0;
};

/** The four measures of one run. Programs that crash replicas are left out; one that was given up
    or didn't end counts with the longest possible makespan. */
struct Measures
{
    LatencyMeasure latency;                     ///< of all programs
    std::vector<LatencyMeasure> latencyOfClass; ///< in the workload's order
    LatencyMeasure latencyWithinRate;           ///< of the programs of all teams but the surge team
    LatencyMeasure latencyWithoutPauses;        ///< waiting and serving alone
    double recomputedTokens = 0;
    double pausedTokenSeconds = 0;
    double endedTokenSeconds = 0;
    double worstTeamSlowdown = 1; ///< highest mean of makespan over that alone, surge team left out
    double wrongfulRefusalPart = 0; ///< of the calls of teams within their rate
    double unfinishedPrograms = 0;
    double crashes = 0;
};

/** Works out the measures of a run. */
[[nodiscard]] Measures measure(const RunResult &result, const Workload &workload);

} // namespace lacewingmux::experiment

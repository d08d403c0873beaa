#pragma once

#include "lacewingmux_experiment/results/Measures.h"
#include "lacewingmux_experiment/workload/Workload.h"

#include <QString>

#include <vector>

namespace lacewingmux::experiment {

/** The measures of one policy, by seed. */
struct PolicyResult
{
    QString policy;
    std::vector<Measures> bySeed;
};

/** The measures of all policies in one scenario; the naive policy comes first. */
struct ScenarioResult
{
    Workload workload;
    std::vector<PolicyResult> policies;
};

} // namespace lacewingmux::experiment

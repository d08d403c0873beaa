#pragma once

#include "lacewingmux_scheduling/admission/ReportedLoad.h"

#include <vector>

namespace lacewingmux {

/** The load of a service, as this VM knows it from the reports of the service's replicas. */
struct ServiceLoad
{
    bool reportsPace = false; ///< a replica has reported a pace: the replicas share their machines
    int unreportedReplicas = 0; ///< replicas that can take calls and have sent no report
    std::vector<ReportedLoad> reports;
};

} // namespace lacewingmux

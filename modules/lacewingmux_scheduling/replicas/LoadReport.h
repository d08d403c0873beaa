#pragma once

#include "lacewingmux_core/time/TimerService.h"

namespace lacewingmux {

/** The load that a replica reported; the report may be out of date. */
struct LoadReport
{
    int sequences = 0; ///< running and waiting at the replica, sent by all VMs
    TimerService::SteadyTime measuredAt;
};

} // namespace lacewingmux

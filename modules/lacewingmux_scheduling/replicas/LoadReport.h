#pragma once

#include "lacewingmux_core/time/TimerService.h"

namespace lacewingmux {

/** The load of a replica as it reported it, possibly a while ago. */
struct LoadReport
{
    int sequences = 0; ///< running and waiting at the replica, from all VMs
    TimerService::SteadyTime measuredAt;
};

} // namespace lacewingmux

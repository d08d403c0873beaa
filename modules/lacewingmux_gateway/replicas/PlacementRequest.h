#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/calls/PromptPart.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** The properties of one call that Placement uses. */
struct PlacementRequest
{
    QByteArray service;
    bool forEngine = false;
    std::vector<PromptPart> promptParts;
    QByteArray affinityKey; ///< empty when the call concerns no particular object
    std::vector<QByteArray> excludedInstances; ///< instances that were already tried
    bool ignoresReachedLimits = false;         ///< also considers replicas that are at their limit
    TimerService::SteadyTime now;
};

} // namespace lacewingmux

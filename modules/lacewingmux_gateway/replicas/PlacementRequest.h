#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/calls/PromptPart.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** What Placement has to know of one call. */
struct PlacementRequest
{
    QByteArray service;
    bool forEngine = false;
    std::vector<PromptPart> promptParts;
    QByteArray affinityKey;          ///< empty when the call is about no particular object
    std::vector<QByteArray> avoided; ///< instances that were tried already
    TimerService::SteadyTime now;
};

} // namespace lacewingmux

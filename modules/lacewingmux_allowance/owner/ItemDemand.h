#pragma once

#include "lacewingmux_allowance/shares/ShareCounters.h"
#include "lacewingmux_allowance/shares/ShareItem.h"

namespace lacewingmux {

/** A zone's demand and share of an item, as measured by its owner. */
struct ItemDemand
{
    ShareItem item;
    double demandParts = 0;         ///< recent demand in parts; may exceed the share
    double fleetBurstTokens = 0;    ///< fleet-wide burst; 0 for power
    ShareCounters share;            ///< the zone's share as known to the owner
    std::uint64_t drainedGiven = 0; ///< parts given, journaled and no longer in use
    bool shareLost = false;         ///< journal lost; the share must be read from a fenced record
};

} // namespace lacewingmux

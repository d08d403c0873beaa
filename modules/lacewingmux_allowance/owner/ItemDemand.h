#pragma once

#include "lacewingmux_allowance/shares/ShareCounters.h"
#include "lacewingmux_allowance/shares/ShareItem.h"

namespace lacewingmux {

/** How much of an item a zone uses, as its owner sees it. */
struct ItemDemand
{
    ShareItem item;
    double demandParts = 0;      ///< asked for lately, in parts of the whole; may exceed the share
    double fleetBurstTokens = 0; ///< the whole burst in tokens; 0 for power
    ShareCounters share;         ///< what the owner knows that its zone holds
    std::uint64_t drainedGiven = 0; ///< given, journaled and surely out of use
    bool shareLost = false;         ///< the journal was lost: the share must be read behind a fence
};

} // namespace lacewingmux

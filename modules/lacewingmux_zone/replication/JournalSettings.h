#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_zone/replication/SlotTransfer.h"

#include <chrono>
#include <cstddef>

namespace lacewingmux {

/** Limits, intervals and timeouts of a ReplicatedJournal. */
struct JournalSettings
{
    /** Number of slots handled; lower than slotsPerZone only in tests. */
    SlotIndex slotCount = slotsPerZone;

    /** Approximate maximum size of a frame, in bytes. */
    std::size_t frameBytes = SlotTransfer::pieceBytes;

    /** Maximum number of concurrent slot transfers. */
    int concurrentTransfers = 16;

    /** A request or piece is resent after this long without progress. */
    std::chrono::milliseconds retryInterval{250};

    /** After this long without a commit the slot counts as recovering and refuses new work. */
    std::chrono::milliseconds stallTimeout{1000};

    /** How long a slot waits for VMs outside the view before its state is declared lost. */
    std::chrono::milliseconds departedTimeout{2000};

    /** The same for VMs outside the view with an established link. */
    std::chrono::milliseconds departedConnectedTimeout{30000};

    /** Maximum number of frames kept from epochs that aren't adopted yet. */
    std::size_t maxDeferredFrames = 1024;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_zone/replication/SlotTransfer.h"

#include <chrono>
#include <cstddef>

namespace lacewingmux {

/** How a ReplicatedJournal paces itself. */
struct JournalSettings
{
    /** Slots from this number on are left alone; fewer than all only in tests. */
    SlotIndex slotCount = slotsPerZone;

    /** About how many bytes a frame holds at most. */
    std::size_t frameBytes = SlotTransfer::pieceBytes;

    /** How many slots are transferred at a time. */
    int concurrentTransfers = 16;

    /** After this long without progress a question or a piece is sent again. */
    std::chrono::milliseconds retryInterval{250};

    /** After this long without a commit the slot counts as recovering, and refuses new work. */
    std::chrono::milliseconds stallTimeout{1000};

    /** How long a slot waits for VMs outside the view before its state is given up for lost. */
    std::chrono::milliseconds departedTimeout{2000};

    /** The same for VMs outside the view to which a link is up. */
    std::chrono::milliseconds departedConnectedTimeout{30000};

    /** How many frames of a view that isn't adopted yet are kept. */
    std::size_t heldFrames = 1024;
};

} // namespace lacewingmux

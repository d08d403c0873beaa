#pragma once

#include <chrono>
#include <cstddef>

namespace lacewingmux {

/** Intervals, timeouts and limits of a zone's failure detection and membership. */
struct ZoneMembershipSettings
{
    std::chrono::milliseconds heartbeatInterval{200};
    std::chrono::milliseconds failureTimeout{1500}; ///< a VM silent for this long counts as failed

    /**
        How long a proposer waits for its slots to become active again before it removes the next
        silent VM. A slot whose owner and backup are both removed loses its state in this zone.
    */
    std::chrono::milliseconds nextRemovalTimeout{15000};

    /** How long a joiner tries to hear from a member before it joins without contact. */
    std::chrono::milliseconds joinWithoutContactTimeout{4500};

    /** Interval between store reads by a VM that doesn't watch the store. */
    std::chrono::milliseconds pollInterval{15000};

    /** Number of VMs each VM sends heartbeats to: the next ones in name order. */
    std::size_t heartbeatFanOut = 3;

    /** Number of VMs of a zone that watch the store. */
    std::size_t watchersPerZone = 2;
};

} // namespace lacewingmux

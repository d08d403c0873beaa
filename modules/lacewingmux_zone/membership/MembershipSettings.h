#pragma once

#include <chrono>
#include <cstddef>

namespace lacewingmux {

/** The times and bounds by which the VMs of a zone watch each other. */
struct ZoneMembershipSettings
{
    std::chrono::milliseconds heartbeatInterval{200};
    std::chrono::milliseconds failureTimeout{1500}; ///< silence after which a VM counts as failed

    /**
        How long a proposer waits for its slots to become active again before it drops the next
        silent VM. A slot whose owner and backup are both dropped loses its state in this zone.
    */
    std::chrono::milliseconds nextDropTimeout{15000};

    /** How long a joiner tries to hear a member before it joins unheard. */
    std::chrono::milliseconds joinUnheardTimeout{4500};

    /** Between two reads of the store by a VM that doesn't watch it. */
    std::chrono::milliseconds pollInterval{15000};

    /** How many VMs each VM sends heartbeats to: the next ones in the order of their names. */
    std::size_t heartbeatFanOut = 3;

    /** How many VMs of a zone hold a watch of the store. */
    std::size_t watchersPerZone = 2;
};

} // namespace lacewingmux

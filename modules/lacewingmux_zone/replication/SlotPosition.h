#pragma once

#include <cstdint>

namespace lacewingmux {

/**
    The replication position of a VM's copy of a slot.

    Only the owner of an activation appends to the slot, so two copies with the same activation are
    prefixes of the same sequence of entries, and the copy with the higher sequence number contains
    the other.
*/
struct SlotPosition
{
    std::uint64_t activation = 0;       ///< epoch of the copy's last activation; 0 without a copy
    std::uint64_t sequence = 0;         ///< sequence number of the last entry held
    std::uint64_t completeSince = 0;    ///< epoch since which it is complete; 0: always
    std::uint64_t newestActivation = 0; ///< highest activation known on any VM

    friend bool operator==(const SlotPosition &, const SlotPosition &) = default;
};

} // namespace lacewingmux

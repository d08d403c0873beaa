#pragma once

#include <cstdint>

namespace lacewingmux {

/**
    How far the copy of a slot that a VM holds has come.

    Only the owner of the activation appends to it, so two copies with the same activation are
    both beginnings of the same series of entries, and the one with the higher sequence holds all
    that the other holds.
*/
struct SlotPosition
{
    std::uint64_t activation = 0;       ///< epoch of the copy's last activation; 0 without a copy
    std::uint64_t sequence = 0;         ///< number of the last entry held
    std::uint64_t completeSince = 0;    ///< epoch from which it is complete; 0 from the start
    std::uint64_t newestActivation = 0; ///< highest epoch known to have become active anywhere

    friend bool operator==(const SlotPosition &, const SlotPosition &) = default;
};

} // namespace lacewingmux

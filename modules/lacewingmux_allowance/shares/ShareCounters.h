#pragma once

#include <cstdint>

namespace lacewingmux {

/** How many parts make the whole of a team's allowance or of the power cap. */
inline constexpr std::uint64_t partsPerItem = 1'000'000;

/**
    One zone's share of a team's allowance, or of the power cap, as three counters of parts.

    The counters of a zone only grow: received by the compare-and-swap with which another zone
   gives, given by this zone alone. So an old copy of received is never too high, and an owner that
   counts a gift as given before it is written never uses more than the store grants to its zone.
*/
struct ShareCounters
{
    std::uint64_t initial = 0;  ///< parts at the creation of the item
    std::uint64_t received = 0; ///< parts received from other zones so far
    std::uint64_t given = 0;    ///< parts given to other zones so far

    /** Returns the parts held, from 0 to partsPerItem. */
    [[nodiscard]] std::uint64_t parts() const noexcept
    {
        const std::uint64_t gained = this->initial + this->received;
        return gained > this->given ? gained - this->given : 0;
    }

    /** Returns the share as a fraction of the whole, from 0 to 1. */
    [[nodiscard]] double fraction() const noexcept
    {
        return static_cast<double>(this->parts()) / static_cast<double>(partsPerItem);
    }

    friend bool operator==(const ShareCounters &, const ShareCounters &) = default;
};

} // namespace lacewingmux

#pragma once

#include <cstdint>

namespace lacewingmux {

/** The number of parts into which a team's allowance or the power cap is divided. */
inline constexpr std::uint64_t partsPerItem = 1'000'000;

/**
    One zone's share of a team's allowance, or of the power cap, as three counters of parts.

    The counters of a zone only increase: received by the compare-and-swap of the zone that
    transfers parts to it, given by this zone alone. So a stale copy of received is never too high,
    and an owner that counts parts as given before the transfer is written never uses more than the
    store assigns to its zone.
*/
struct ShareCounters
{
    std::uint64_t initial = 0;  ///< parts held when the item was created
    std::uint64_t received = 0; ///< total parts received from other zones
    std::uint64_t given = 0;    ///< total parts given to other zones

    /** Returns the parts held, from 0 to partsPerItem; never negative. */
    [[nodiscard]] std::uint64_t parts() const noexcept
    {
        const std::uint64_t gained = this->initial + this->received;
        return gained > this->given ? gained - this->given : 0;
    }

    /** Returns the share as a fraction of the item, from 0 to 1. */
    [[nodiscard]] double fraction() const noexcept
    {
        return static_cast<double>(this->parts()) / static_cast<double>(partsPerItem);
    }

    friend bool operator==(const ShareCounters &, const ShareCounters &) = default;
};

} // namespace lacewingmux

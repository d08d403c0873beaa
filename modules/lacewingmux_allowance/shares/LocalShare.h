#pragma once

#include "lacewingmux_allowance/shares/ShareCounters.h"

#include <cstdint>

namespace lacewingmux {

/**
    What an owner knows of its zone's share of one item: the counters it has learnt and what it has
    given away, whether or not the gift has reached the store yet.
*/
class LocalShare
{
public:
    LocalShare() = default;

    /** Makes a holding with known counters, as recovered from a journal entry. */
    explicit LocalShare(const ShareCounters &knownCounters);

    /** Tells whether the share has been learnt; until then the holding is empty. */
    [[nodiscard]] bool isKnown() const noexcept
    {
        return this->known;
    }

    [[nodiscard]] const ShareCounters &counters() const noexcept
    {
        return this->shareCounters;
    }

    /** Learns the counters of a share record, however old it is; counters never fall. */
    void merge(const ShareCounters &recorded);

    /** Counts the parts as given; returns how many, at most those held. */
    std::uint64_t withdraw(std::uint64_t parts);

private:
    bool known = false;
    ShareCounters shareCounters;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_allowance/shares/ShareCounters.h"

#include <cstdint>

namespace lacewingmux {

/**
    An owner's copy of its zone's share of one item: the counters read from share records, plus the
    parts given whose transfer may not have been written to the store yet.
*/
class LocalShare
{
public:
    LocalShare() = default;

    /** Creates a share with known counters, as restored from a journal entry. */
    explicit LocalShare(const ShareCounters &knownCounters);

    /** Returns whether the counters are known; until then the share is empty. */
    [[nodiscard]] bool isKnown() const noexcept
    {
        return this->known;
    }

    [[nodiscard]] const ShareCounters &counters() const noexcept
    {
        return this->shareCounters;
    }

    /** Merges the counters of a share record of any age; counters never decrease. */
    void merge(const ShareCounters &recorded);

    /** Counts up to that many held parts as given; returns how many were. */
    std::uint64_t withdraw(std::uint64_t parts);

private:
    bool known = false;
    ShareCounters shareCounters;
};

} // namespace lacewingmux

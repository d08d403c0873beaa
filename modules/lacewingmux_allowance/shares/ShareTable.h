#pragma once

#include "lacewingmux_allowance/shares/ShareCounters.h"
#include "lacewingmux_allowance/shares/ShareItem.h"

#include <map>

namespace lacewingmux {

/** One zone's shares according to the share records, passed between threads as a snapshot. */
class ShareTable
{
public:
    std::map<ShareItem, ShareCounters> countersByItem;

    /** Returns the zone's counters of the item, or null when no record contains it. */
    [[nodiscard]] const ShareCounters *find(const ShareItem &item) const
    {
        const auto found = this->countersByItem.find(item);
        return found == this->countersByItem.end() ? nullptr : &found->second;
    }
};

} // namespace lacewingmux

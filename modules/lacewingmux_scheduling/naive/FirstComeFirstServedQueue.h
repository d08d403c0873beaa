#pragma once

#include "lacewingmux_scheduling/queue/WorkItem.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace lacewingmux {

/** The naive twin of WorkQueue: first come, first served, whatever the team and the program. */
class FirstComeFirstServedQueue
{
public:
    FirstComeFirstServedQueue() = default;
    FirstComeFirstServedQueue(const FirstComeFirstServedQueue &) = delete;
    FirstComeFirstServedQueue &operator=(const FirstComeFirstServedQueue &) = delete;

    /** Adds an item at the end. */
    void push(const WorkItem &item);

    /** Returns the item that has waited longest, or null. */
    [[nodiscard]] const WorkItem *next() const;

    /** Takes an item out, to be run or not. Returns whether it was waiting. */
    bool take(std::uint64_t id);

    /** Returns how many items wait. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->items.size();
    }

private:
    std::map<std::uint64_t, WorkItem> items; ///< by arrival
    std::unordered_map<std::uint64_t, std::uint64_t> arrivalOf;
    std::uint64_t arrivals = 0;
};

} // namespace lacewingmux

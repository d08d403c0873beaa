#pragma once

#include "lacewingmux_scheduling/queue/WorkItem.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace lacewingmux {

/** Baseline for WorkQueue: serves calls in order of arrival, regardless of team and program. */
class FirstComeFirstServedQueue
{
public:
    FirstComeFirstServedQueue() = default;
    FirstComeFirstServedQueue(const FirstComeFirstServedQueue &) = delete;
    FirstComeFirstServedQueue &operator=(const FirstComeFirstServedQueue &) = delete;

    /** Appends an item. */
    void push(const WorkItem &item);

    /** Returns the item that has waited longest, or null if the queue is empty. */
    [[nodiscard]] const WorkItem *next() const;

    /** Removes an item, whether it will run or not. Returns whether it was queued. */
    bool take(std::uint64_t id);

    /** Returns the number of queued items. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->items.size();
    }

private:
    std::map<std::uint64_t, WorkItem> items; ///< by arrival number
    std::unordered_map<std::uint64_t, std::uint64_t> arrivalById;
    std::uint64_t arrivals = 0;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_zone/journal/Journal.h"
#include "lacewingmux_zone/journal/JournalChange.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    The entries of one slot that its owner has appended and its backup hasn't acknowledged, in
    order and with contiguous sequence numbers.
*/
class AppendWindow
{
public:
    /** One entry that isn't committed yet. */
    struct Pending
    {
        std::uint64_t sequence = 0;
        JournalChange change;
        Journal::Callback callback;
        TimerService::SteadyTime appendedAt;
    };

    /** Adds an entry; its sequence number must follow that of the last entry. */
    void push(Pending entry);

    /** Removes and returns all entries up to the sequence number, in order. */
    [[nodiscard]] std::vector<Pending> takeThrough(std::uint64_t sequence);

    /** Removes and returns all entries. */
    [[nodiscard]] std::vector<Pending> takeAll();

    /** Returns whether it holds every entry after the first sequence number through the last. */
    [[nodiscard]] bool covers(std::uint64_t after, std::uint64_t last) const;

    /** Returns the unsent entries and marks them as sent. */
    [[nodiscard]] std::vector<const Pending *> takeUnsent();

    /** Marks all entries after the sequence number as unsent. */
    void resendAfter(std::uint64_t sequence);

    /** Returns when the oldest entry was appended, or nothing if there is none. */
    [[nodiscard]] std::optional<TimerService::SteadyTime> oldest() const;

    [[nodiscard]] bool isEmpty() const noexcept
    {
        return this->entries.empty();
    }

private:
    std::deque<Pending> entries;
    std::uint64_t sentThrough = 0;
};

} // namespace lacewingmux

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
    The entries of one slot that its owner has appended and the backup hasn't acknowledged, in
    order and without gaps in their sequence numbers.
*/
class AppendWindow
{
public:
    /** One entry that waits for its commit. */
    struct Pending
    {
        std::uint64_t sequence = 0;
        JournalChange change;
        Journal::Callback callback;
        TimerService::SteadyTime appendedAt;
    };

    /** Adds an entry; its sequence must follow that of the last one. */
    void push(Pending entry);

    /** Takes out all entries up to the sequence, in order, for their callbacks to be called. */
    [[nodiscard]] std::vector<Pending> takeThrough(std::uint64_t sequence);

    /** Takes out all entries. */
    [[nodiscard]] std::vector<Pending> takeAll();

    /** Tells whether it holds every entry after the first sequence up to and with the last. */
    [[nodiscard]] bool covers(std::uint64_t after, std::uint64_t last) const;

    /** Returns the entries that haven't been sent, and takes them for sent. */
    [[nodiscard]] std::vector<const Pending *> takeUnsent();

    /** Makes all entries after the sequence be sent again. */
    void resendAfter(std::uint64_t sequence);

    /** Returns when the oldest entry was appended; nothing when none waits. */
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

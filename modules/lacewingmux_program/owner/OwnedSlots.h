#pragma once

#include "lacewingmux_program/events/ProgramEvent.h"
#include "lacewingmux_zone/journal/Journal.h"

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace lacewingmux {

/**
    Tracks the slots that this VM owns, for the owner of their aggregates.

    Wraps the journal so that a decision made in one period of ownership has no effect in another:
    a continuation runs only if its entry is committed and the slot has not been lost since. A loss
    is reported once, whether the journal reported it or an append returned SteppedDown.
*/
class OwnedSlots
{
public:
    using Continuation = std::function<void()>;

    explicit OwnedSlots(Journal &replicatedJournal);
    OwnedSlots(const OwnedSlots &) = delete;
    OwnedSlots &operator=(const OwnedSlots &) = delete;
    ~OwnedSlots();

    std::function<void(SlotIndex slot, const std::vector<AggregateRecord> &records)> onActivated;
    std::function<void(SlotIndex slot)> onDeactivated;

    /** Returns whether the slot is active here and its aggregates have been rebuilt. */
    [[nodiscard]] bool isOwned(SlotIndex slot) const;

    /** Returns whether the slot lost no state, so that an aggregate missing here never existed. */
    [[nodiscard]] bool isComplete(SlotIndex slot) const;

    void append(const AggregateId &aggregate, const QByteArray &entry, Continuation committed);
    void replace(const AggregateId &aggregate, const QByteArray &entry, Continuation committed);
    void remove(const AggregateId &aggregate, Continuation committed);

    /** Runs the continuation once the backup has confirmed that this VM owns the slot. */
    void confirm(SlotIndex slot, Continuation confirmed);

private:
    struct Slot
    {
        bool owned = false;
        std::uint64_t generation = 0; ///< incremented with each change of ownership
    };

    [[nodiscard]] Journal::Callback guardedCallback(SlotIndex slot, Continuation continuation);
    void activate(SlotIndex slot, const std::vector<AggregateRecord> &records);
    void deactivate(SlotIndex slot);

    Journal &journal;
    std::array<Slot, slotsPerZone> slots;
    /** False once destroyed; disables pending callbacks. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux

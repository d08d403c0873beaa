#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_zone/journal/AggregateRecord.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <vector>

namespace lacewingmux {

/** The outcome of appending a journal entry. */
enum class AppendOutcome : std::uint8_t {
    Committed,  ///< all required copies hold it; its effect may be applied
    SteppedDown ///< this VM no longer owns the slot; the effect must not be applied here
};

/** The state of a slot as seen by this VM. */
enum class SlotStatus : std::uint8_t {
    NotOwner,        ///< another VM owns it, or no VM does
    Recovering,      ///< this VM is the owner but currently can't commit
    Active,          ///< this VM owns it with complete state: an aggregate it lacks never existed
    ActiveIncomplete ///< active after a loss: an aggregate it lacks may have existed
};

/**
    The replicated journal of the aggregates that this VM owns.

    An owner appends an entry before it applies the entry's effect, and applies the effect only
    once the entry is reported as committed. All calls and callbacks run on one thread.
*/
class Journal
{
public:
    using Callback = std::function<void(AppendOutcome)>;
    using ActivationHandler =
            std::function<void(SlotIndex slot, const std::vector<AggregateRecord> &records)>;
    using DeactivationHandler = std::function<void(SlotIndex slot)>;

    Journal() = default;
    virtual ~Journal() = default;
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    [[nodiscard]] virtual SlotStatus status(SlotIndex slot) const = 0;

    /**
        Returns the epoch since which an active slot is complete; 0 means since the start of the
        zone. An aggregate missing from the slot may have existed in an earlier epoch.
    */
    [[nodiscard]] virtual std::uint64_t completeSince(SlotIndex) const
    {
        return 0;
    }

    /** Appends an entry. The callback runs once, after this returns, in the order of the appends.
     */
    virtual void append(const AggregateId &aggregate, const QByteArray &entry,
                        Callback callback) = 0;

    /** Replaces all entries of an aggregate with one, to compact it or to mark it as ended. */
    virtual void replace(const AggregateId &aggregate, const QByteArray &entry,
                         Callback callback) = 0;

    /** Removes an aggregate whose retention period has expired. */
    virtual void remove(const AggregateId &aggregate, Callback callback) = 0;

    /**
        Confirms with the backup that this VM is still the owner at some time after the call.
        Required before a refusal states "not run" for a request that may have been sent before.
    */
    virtual void confirmOwnership(SlotIndex slot, Callback callback) = 0;

    /** Adds a handler called when this VM becomes the active owner of a slot, with its records. */
    virtual void addActivationHandler(ActivationHandler handler) = 0;

    /** Adds a handler called when this VM stops owning a slot; pending appends then step down. */
    virtual void addDeactivationHandler(DeactivationHandler handler) = 0;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_zone/journal/AggregateRecord.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <vector>

namespace lacewingmux {

/** What became of a journal entry. */
enum class AppendOutcome : std::uint8_t {
    Committed,  ///< every copy that is required has it; its effect may happen
    SteppedDown ///< this VM owns the slot no longer; the effect must not happen here
};

/** What this VM can say about an aggregate's slot. */
enum class SlotStatus : std::uint8_t {
    NotOwner,        ///< another VM owns it, or none does
    Recovering,      ///< this VM is the owner and can't commit at present
    Active,          ///< this VM owns it with complete state: an aggregate it lacks never existed
    ActiveIncomplete ///< active after a loss: an aggregate it lacks may have existed
};

/**
    The replicated journal of the aggregates that this VM owns.

    An owner appends an entry before it lets the entry's effect happen, and lets it happen only
    when told that the entry is committed. All calls and callbacks are on one thread.
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
        Returns the epoch from which an active slot is complete; 0 means from the start of the
        zone. An aggregate of an earlier epoch that it lacks may have existed.
    */
    [[nodiscard]] virtual std::uint64_t completeSince(SlotIndex) const
    {
        return 0;
    }

    /** Appends an entry; calls back once, never before it returns, in the order of the appends. */
    virtual void append(const AggregateId &aggregate, const QByteArray &entry,
                        Callback callback) = 0;

    /** Replaces all entries of an aggregate with one; for compaction and for ended aggregates. */
    virtual void replace(const AggregateId &aggregate, const QByteArray &entry,
                         Callback callback) = 0;

    /** Forgets an aggregate whose retention has passed. */
    virtual void remove(const AggregateId &aggregate, Callback callback) = 0;

    /**
        Confirms, with the backup, that this VM is still the owner at a moment after the call.
        A refusal that promises "not run" for a request that may have been sent before needs it.
    */
    virtual void confirmOwnership(SlotIndex slot, Callback callback) = 0;

    /** Adds a handler called when this VM becomes the active owner of a slot, with its records. */
    virtual void addActivationHandler(ActivationHandler handler) = 0;

    /** Adds a handler called when this VM stops owning a slot; pending appends then step down. */
    virtual void addDeactivationHandler(DeactivationHandler handler) = 0;
};

} // namespace lacewingmux

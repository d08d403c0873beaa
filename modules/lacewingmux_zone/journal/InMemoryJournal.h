#pragma once

#include "lacewingmux_zone/journal/Journal.h"
#include "lacewingmux_zone/journal/RecordMap.h"

#include <array>
#include <deque>
#include <memory>
#include <vector>

namespace lacewingmux {

class TimerService;

/**
    An unreplicated journal of one VM, for tests of the aggregates and for embedding.

    It owns every slot from the start and commits each entry on the next turn of the timer
    service. A test can make it step down from a slot and activate the slot again, to reproduce
    what an owner observes when it is replaced.
*/
class InMemoryJournal final : public Journal
{
public:
    explicit InMemoryJournal(TimerService &timerService);
    ~InMemoryJournal() override;

    [[nodiscard]] SlotStatus status(SlotIndex slot) const override;
    void append(const AggregateId &aggregate, const QByteArray &entry, Callback callback) override;
    void replace(const AggregateId &aggregate, const QByteArray &entry, Callback callback) override;
    void remove(const AggregateId &aggregate, Callback callback) override;
    void confirmOwnership(SlotIndex slot, Callback callback) override;

    /** Adds a handler; on the next turn it is called for every slot that is then active. */
    void addActivationHandler(ActivationHandler handler) override;
    void addDeactivationHandler(DeactivationHandler handler) override;

    /** Gives up ownership of a slot; its uncommitted entries end with SteppedDown. */
    void stepDown(SlotIndex slot);

    /** Gives up ownership of all slots. */
    void stepDownAll();

    /** Takes ownership of a slot with its committed records and calls the activation handlers. */
    void activate(SlotIndex slot, SlotStatus activeStatus = SlotStatus::Active);

    /** Delays commits until releaseCommits() is called instead of the next turn. */
    void holdCommits();

    /** Commits pending entries on the next turn and stops delaying commits. */
    void releaseCommits();

    /** Returns the committed records of a slot. */
    [[nodiscard]] const RecordMap &records(SlotIndex slot) const;

private:
    using Change = std::function<void(RecordMap &)>;

    struct Slot
    {
        SlotStatus status = SlotStatus::Active;
        RecordMap records;
    };
    struct PendingAppend
    {
        SlotIndex slot;
        Change change; ///< empty for a confirmation
        Callback callback;
        AppendOutcome outcome;
    };

    void submit(SlotIndex slot, Change change, Callback callback);
    void scheduleCommit();
    void commitPending();

    TimerService &timers;
    std::array<Slot, slotsPerZone> slotStates;
    std::vector<ActivationHandler> activationHandlers;
    std::vector<DeactivationHandler> deactivationHandlers;
    std::deque<PendingAppend> pendingAppends;
    bool commitsHeld = false;
    bool commitScheduled = false;
    std::shared_ptr<bool> alive =
            std::make_shared<bool>(true); ///< cancels posted calls on destruction
};

} // namespace lacewingmux

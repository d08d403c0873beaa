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
    A journal of one VM without copies, for tests of the aggregates and for embedding.

    It owns every slot from the start and commits each entry on the next turn of the timer
    service. It can be told to step down from a slot and to take it over again, so that a test
    sees what an owner sees when it is replaced.
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

    /** Adds a handler; it is called at the next turn for every slot that is active by then. */
    void addActivationHandler(ActivationHandler handler) override;
    void addDeactivationHandler(DeactivationHandler handler) override;

    /** Gives up a slot: what is appended and not yet committed steps down. */
    void stepDown(SlotIndex slot);

    /** Gives up all slots. */
    void stepDownAll();

    /** Takes a slot, with the records committed so far, and calls the activation handlers. */
    void activate(SlotIndex slot, SlotStatus activeStatus = SlotStatus::Active);

    /** Makes appends wait for the next call of releaseCommits instead of the next turn. */
    void holdCommits();

    /** Commits what waits, on the next turn, and holds nothing more. */
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
    struct Waiting
    {
        SlotIndex slot;
        Change change; ///< empty for a confirmation
        Callback callback;
        AppendOutcome outcome;
    };

    void submit(SlotIndex slot, Change change, Callback callback);
    void scheduleCommit();
    void commitWaiting();

    TimerService &timers;
    std::array<Slot, slotsPerZone> slotStates;
    std::vector<ActivationHandler> activationHandlers;
    std::vector<DeactivationHandler> deactivationHandlers;
    std::deque<Waiting> waiting;
    bool commitsHeld = false;
    bool commitScheduled = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< ends posted calls with this
};

} // namespace lacewingmux

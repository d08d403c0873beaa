#include "lacewingmux_zone/journal/InMemoryJournal.h"

#include "lacewingmux_core/time/TimerService.h"

#include <utility>

namespace lacewingmux {

namespace {

bool isActive(SlotStatus status)
{
    return status == SlotStatus::Active || status == SlotStatus::ActiveIncomplete;
}

} // namespace

InMemoryJournal::InMemoryJournal(TimerService &timerService)
    : timers(timerService)
{ }

InMemoryJournal::~InMemoryJournal()
{
    *this->alive = false;
}

SlotStatus InMemoryJournal::status(SlotIndex slot) const
{
    return this->slotStates.at(slot).status;
}

void InMemoryJournal::append(const AggregateId &aggregate, const QByteArray &entry,
                             Callback callback)
{
    this->submit(
            aggregate.slot(),
            [aggregate, entry](RecordMap &records) { records.append(aggregate, entry); },
            std::move(callback));
}

void InMemoryJournal::replace(const AggregateId &aggregate, const QByteArray &entry,
                              Callback callback)
{
    this->submit(
            aggregate.slot(),
            [aggregate, entry](RecordMap &records) { records.replace(aggregate, entry); },
            std::move(callback));
}

void InMemoryJournal::remove(const AggregateId &aggregate, Callback callback)
{
    this->submit(
            aggregate.slot(), [aggregate](RecordMap &records) { records.remove(aggregate); },
            std::move(callback));
}

void InMemoryJournal::confirmOwnership(SlotIndex slot, Callback callback)
{
    this->submit(slot, {}, std::move(callback));
}

void InMemoryJournal::addActivationHandler(ActivationHandler handler)
{
    this->activationHandlers.push_back(handler);
    this->timers.post([this, token = this->alive, added = std::move(handler)] {
        if (!*token)
            return;
        for (SlotIndex slot = 0; slot < slotsPerZone; ++slot) {
            if (isActive(this->slotStates[slot].status))
                added(slot, this->slotStates[slot].records.toRecords());
        }
    });
}

void InMemoryJournal::addDeactivationHandler(DeactivationHandler handler)
{
    this->deactivationHandlers.push_back(std::move(handler));
}

void InMemoryJournal::stepDown(SlotIndex slot)
{
    if (this->slotStates.at(slot).status == SlotStatus::NotOwner)
        return;
    this->slotStates[slot].status = SlotStatus::NotOwner;
    for (PendingAppend &entry : this->pendingAppends) {
        if (entry.slot == slot)
            entry.outcome = AppendOutcome::SteppedDown;
    }
    for (const DeactivationHandler &handler : this->deactivationHandlers)
        handler(slot);
}

void InMemoryJournal::stepDownAll()
{
    for (SlotIndex slot = 0; slot < slotsPerZone; ++slot)
        this->stepDown(slot);
}

void InMemoryJournal::activate(SlotIndex slot, SlotStatus activeStatus)
{
    this->slotStates.at(slot).status = activeStatus;
    const std::vector<AggregateRecord> held = this->slotStates[slot].records.toRecords();
    for (const ActivationHandler &handler : this->activationHandlers)
        handler(slot, held);
}

void InMemoryJournal::holdCommits()
{
    this->commitsHeld = true;
}

void InMemoryJournal::releaseCommits()
{
    this->commitsHeld = false;
    this->scheduleCommit();
}

const RecordMap &InMemoryJournal::records(SlotIndex slot) const
{
    return this->slotStates.at(slot).records;
}

void InMemoryJournal::submit(SlotIndex slot, Change change, Callback callback)
{
    const bool owned = isActive(this->slotStates.at(slot).status);
    const AppendOutcome outcome = owned ? AppendOutcome::Committed : AppendOutcome::SteppedDown;
    this->pendingAppends.push_back({slot, std::move(change), std::move(callback), outcome});
    if (!this->commitsHeld)
        this->scheduleCommit();
}

void InMemoryJournal::scheduleCommit()
{
    if (this->commitScheduled)
        return;
    this->commitScheduled = true;
    this->timers.post([this, token = this->alive] {
        if (*token)
            this->commitPending();
    });
}

void InMemoryJournal::commitPending()
{
    this->commitScheduled = false;
    if (this->commitsHeld)
        return;
    const std::shared_ptr<bool> token = this->alive;
    for (std::size_t due = this->pendingAppends.size(); due > 0 && *token; --due) {
        const PendingAppend entry = std::move(this->pendingAppends.front());
        this->pendingAppends.pop_front();
        if (entry.outcome == AppendOutcome::Committed && entry.change)
            entry.change(this->slotStates[entry.slot].records);
        if (entry.callback)
            entry.callback(entry.outcome);
    }
}

} // namespace lacewingmux

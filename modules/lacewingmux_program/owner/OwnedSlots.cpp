#include "lacewingmux_program/owner/OwnedSlots.h"

#include <utility>

namespace lacewingmux {

OwnedSlots::OwnedSlots(Journal &replicatedJournal)
    : journal(replicatedJournal)
{
    this->journal.addActivationHandler(
            [this, token = this->alive](SlotIndex slot,
                                        const std::vector<AggregateRecord> &records) {
                if (*token)
                    this->activate(slot, records);
            });
    this->journal.addDeactivationHandler([this, token = this->alive](SlotIndex slot) {
        if (*token)
            this->deactivate(slot);
    });
}

OwnedSlots::~OwnedSlots()
{
    *this->alive = false;
}

bool OwnedSlots::isOwned(SlotIndex slot) const
{
    const SlotStatus status = this->journal.status(slot);
    return this->slots.at(slot).owned
           && (status == SlotStatus::Active || status == SlotStatus::ActiveIncomplete);
}

bool OwnedSlots::isComplete(SlotIndex slot) const
{
    return this->isOwned(slot) && this->journal.status(slot) == SlotStatus::Active;
}

void OwnedSlots::append(const AggregateId &aggregate, const QByteArray &entry,
                        Continuation committed)
{
    this->journal.append(aggregate, entry,
                         this->guardedCallback(aggregate.slot(), std::move(committed)));
}

void OwnedSlots::replace(const AggregateId &aggregate, const QByteArray &entry,
                         Continuation committed)
{
    this->journal.replace(aggregate, entry,
                          this->guardedCallback(aggregate.slot(), std::move(committed)));
}

void OwnedSlots::remove(const AggregateId &aggregate, Continuation committed)
{
    this->journal.remove(aggregate, this->guardedCallback(aggregate.slot(), std::move(committed)));
}

void OwnedSlots::confirm(SlotIndex slot, Continuation confirmed)
{
    this->journal.confirmOwnership(slot, this->guardedCallback(slot, std::move(confirmed)));
}

Journal::Callback OwnedSlots::guardedCallback(SlotIndex slot, Continuation continuation)
{
    const std::uint64_t generation = this->slots.at(slot).generation;
    return [this, token = this->alive, slot, generation,
            next = std::move(continuation)](AppendOutcome outcome) {
        if (!*token || this->slots[slot].generation != generation)
            return;
        if (outcome == AppendOutcome::SteppedDown)
            this->deactivate(slot);
        else if (next)
            next();
    };
}

void OwnedSlots::activate(SlotIndex slot, const std::vector<AggregateRecord> &records)
{
    this->deactivate(slot);
    this->slots.at(slot).owned = true;
    ++this->slots[slot].generation;
    if (this->onActivated)
        this->onActivated(slot, records);
}

void OwnedSlots::deactivate(SlotIndex slot)
{
    if (!this->slots.at(slot).owned)
        return;
    this->slots[slot].owned = false;
    ++this->slots[slot].generation;
    if (this->onDeactivated)
        this->onDeactivated(slot);
}

} // namespace lacewingmux

#include "zone/model/ClaimRunner.h"

#include "lacewingmux_zone/replication/ReplicatedJournal.h"
#include "zone/model/ModelChecks.h"

#include <utility>

namespace lacewingmux {

ClaimRunner::ClaimRunner(ReplicatedJournal &replicatedJournal, ModelChecks &modelChecks,
                         VmIncarnation self)
    : journal(replicatedJournal)
    , checks(modelChecks)
    , vm(std::move(self))
{
    this->journal.addActivationHandler(
            [this](SlotIndex slot, const std::vector<AggregateRecord> &records) {
                for (const AggregateRecord &record : records)
                    this->known[record.id] = {record.entries.begin(), record.entries.end()};
                this->checks.activated(this->vm, slot, this->journal.position(slot).activation,
                                       this->journal.completeSince(slot), records);
            });
    this->journal.addDeactivationHandler([this](SlotIndex slot) {
        std::erase_if(this->known,
                      [slot](const auto &entry) { return entry.first.slot() == slot; });
    });
}

void ClaimRunner::submit(const ModelEffect &claim)
{
    const SlotIndex slot = claim.aggregate.slot();
    const SlotStatus status = this->journal.status(slot);
    const bool active = status == SlotStatus::Active || status == SlotStatus::ActiveIncomplete;
    const QByteArray entry = QByteArray::number(static_cast<qulonglong>(claim.claim));
    if (!active || this->known[claim.aggregate].contains(entry))
        return;
    if (claim.createdEpoch > this->journal.epoch())
        return; // this VM has an outdated view and may have been replaced in that epoch
    if (claim.createdEpoch < this->journal.completeSince(slot))
        return; // whether it ran before the loss is unknown
    this->known[claim.aggregate].insert(entry);
    this->journal.append(claim.aggregate, entry, [this, claim, slot](AppendOutcome outcome) {
        if (outcome != AppendOutcome::Committed)
            return;
        this->checks.effect(this->vm, this->journal.position(slot).activation,
                            this->journal.completeSince(slot), claim,
                            this->journal.records(slot).toRecords());
    });
}

void ClaimRunner::confirm(SlotIndex slot)
{
    const std::uint64_t newest = this->checks.newestActivation(slot);
    this->journal.confirmOwnership(slot, [this, slot, newest](AppendOutcome outcome) {
        if (outcome == AppendOutcome::Committed)
            this->checks.confirmed(slot, this->journal.position(slot).activation, newest);
    });
}

} // namespace lacewingmux

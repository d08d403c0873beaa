#include "zone/model/ModelVm.h"

#include "zone/model/ModelChecks.h"

namespace lacewingmux {

ModelVm::ModelVm(ModelNetwork &network, ModelChecks &modelChecks, const VmDescriptor &self,
                 const JournalSettings &settings, const JournalFaults &faults)
    : descriptor(self)
    , hub(network, self.incarnation)
    , journal(this->hub, this->timers, this->metrics, self, settings, faults)
    , checks(modelChecks)
{
    this->journal.addActivationHandler(
            [this](SlotIndex slot, const std::vector<AggregateRecord> &records) {
                for (const AggregateRecord &record : records)
                    this->known[record.id] = {record.entries.begin(), record.entries.end()};
                this->checks.activated(this->descriptor.incarnation, slot,
                                       this->journal.position(slot).activation,
                                       this->journal.completeSince(slot), records);
            });
    this->journal.addDeactivationHandler([this](SlotIndex slot) {
        std::erase_if(this->known,
                      [slot](const auto &entry) { return entry.first.slot() == slot; });
    });
}

void ModelVm::submit(const ModelEffect &claim)
{
    const SlotIndex slot = claim.aggregate.slot();
    const SlotStatus status = this->journal.status(slot);
    const bool active = status == SlotStatus::Active || status == SlotStatus::ActiveIncomplete;
    const QByteArray entry = QByteArray::number(static_cast<qulonglong>(claim.claim));
    if (!active || this->known[claim.aggregate].contains(entry))
        return;
    if (claim.mintedEpoch > this->journal.epoch())
        return; // this VM lags behind the zone, and may have been replaced in that epoch
    if (claim.mintedEpoch < this->journal.completeSince(slot))
        return; // whether it ran before the loss is unknown
    this->known[claim.aggregate].insert(entry);
    this->journal.append(claim.aggregate, entry, [this, claim, slot](AppendOutcome outcome) {
        if (outcome != AppendOutcome::Committed)
            return;
        this->checks.effect(this->descriptor.incarnation, this->journal.position(slot).activation,
                            this->journal.completeSince(slot), claim,
                            this->journal.records(slot).toRecords());
    });
}

void ModelVm::confirm(SlotIndex slot)
{
    const std::uint64_t newest = this->checks.newestActivation(slot);
    this->journal.confirmOwnership(slot, [this, slot, newest](AppendOutcome outcome) {
        if (outcome == AppendOutcome::Committed)
            this->checks.confirmed(slot, this->journal.position(slot).activation, newest);
    });
}

} // namespace lacewingmux

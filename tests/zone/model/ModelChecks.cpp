#include "zone/model/ModelChecks.h"

#include <QString>

#include <algorithm>

namespace lacewingmux {

namespace {

/** Returns the index of the claim in the entries, -1 if it is missing, -2 if it is duplicated. */
int indexOfClaim(std::uint64_t claim, const std::vector<QByteArray> &entries)
{
    const QByteArray text = QByteArray::number(static_cast<qulonglong>(claim));
    const auto first = std::find(entries.begin(), entries.end(), text);
    if (first == entries.end())
        return -1;
    if (std::find(first + 1, entries.end(), text) != entries.end())
        return -2;
    return static_cast<int>(first - entries.begin());
}

} // namespace

void ModelChecks::activated(const VmIncarnation &, SlotIndex slot, std::uint64_t activation,
                            std::uint64_t completeSince,
                            const std::vector<AggregateRecord> &records)
{
    this->newest[slot] = std::max(this->newest[slot], activation);
    if (completeSince > 0)
        ++this->incomplete;
    this->checkRecords(slot, activation, completeSince, records);
}

void ModelChecks::effect(const VmIncarnation &vm, std::uint64_t activation,
                         std::uint64_t completeSince, const ModelEffect &effect,
                         const std::vector<AggregateRecord> &records)
{
    const SlotIndex slot = effect.aggregate.slot();
    if (!this->executedClaims.insert(effect.claim).second)
        this->addViolation("claim " + std::to_string(effect.claim) + " ran twice");
    const auto [committer, added] = this->committers.try_emplace({slot, activation}, vm);
    if (committer->second != vm)
        this->addViolation("two owners commit in one activation of slot " + std::to_string(slot));
    // An owner that has since been replaced may learn late that its entry was committed.
    this->effects[slot].emplace(activation, effect);
    this->checkRecords(slot, activation, completeSince, records);
}

void ModelChecks::confirmed(SlotIndex slot, std::uint64_t activation, std::uint64_t newestWhenAsked)
{
    if (activation < newestWhenAsked)
        this->addViolation("a replaced owner of slot " + std::to_string(slot) + " was confirmed");
}

std::uint64_t ModelChecks::newestActivation(SlotIndex slot) const
{
    const auto known = this->newest.find(slot);
    return known == this->newest.end() ? 0 : known->second;
}

void ModelChecks::addViolation(const std::string &text)
{
    this->foundViolations.push_back(text);
}

void ModelChecks::checkRecords(SlotIndex slot, std::uint64_t activation,
                               std::uint64_t completeSince,
                               const std::vector<AggregateRecord> &records)
{
    std::map<AggregateId, int> lastIndex;
    for (const auto &[effectActivation, effect] : this->effects[slot]) {
        if (effectActivation > activation)
            break; // a replaced owner needn't hold its successors' effects
        if (effect.createdEpoch < completeSince)
            continue; // known to be missing and never run again
        const auto record = std::find_if(
                records.begin(), records.end(),
                [&id = effect.aggregate](const AggregateRecord &held) { return held.id == id; });
        const int index =
                record == records.end() ? -1 : indexOfClaim(effect.claim, record->entries);
        const std::string name = "claim " + std::to_string(effect.claim);
        if (index == -1)
            this->addViolation(name + " was committed and is lost");
        if (index == -2)
            this->addViolation(name + " appears twice in the journal");
        const auto last = lastIndex.find(effect.aggregate);
        if (index >= 0 && last != lastIndex.end() && index < last->second)
            this->addViolation(name + " is out of order");
        lastIndex[effect.aggregate] = index;
    }
}

} // namespace lacewingmux

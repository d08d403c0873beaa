#include "zone/model/ModelChecks.h"

#include <QString>

#include <algorithm>

namespace lacewingmux {

namespace {

/** Returns where in the aggregate's entries the claim stands, or -1; -2 when it stands twice. */
int placeOf(std::uint64_t claim, const std::vector<QByteArray> &entries)
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
    this->checkHeld(slot, activation, completeSince, records);
}

void ModelChecks::effect(const VmIncarnation &vm, std::uint64_t activation,
                         std::uint64_t completeSince, const ModelEffect &effect,
                         const std::vector<AggregateRecord> &records)
{
    const SlotIndex slot = effect.aggregate.slot();
    if (!this->ran.insert(effect.claim).second)
        this->violate("claim " + std::to_string(effect.claim) + " ran twice");
    const auto [committer, added] = this->committers.try_emplace({slot, activation}, vm);
    if (committer->second != vm)
        this->violate("two owners commit in one activation of slot " + std::to_string(slot));
    // An owner that was replaced meanwhile may learn late that its entry was committed.
    this->effects[slot].emplace(activation, effect);
    this->checkHeld(slot, activation, completeSince, records);
}

void ModelChecks::confirmed(SlotIndex slot, std::uint64_t activation, std::uint64_t newestWhenAsked)
{
    if (activation < newestWhenAsked)
        this->violate("a replaced owner of slot " + std::to_string(slot) + " was confirmed");
}

std::uint64_t ModelChecks::newestActivation(SlotIndex slot) const
{
    const auto known = this->newest.find(slot);
    return known == this->newest.end() ? 0 : known->second;
}

void ModelChecks::violate(const std::string &text)
{
    this->found.push_back(text);
}

void ModelChecks::checkHeld(SlotIndex slot, std::uint64_t activation, std::uint64_t completeSince,
                            const std::vector<AggregateRecord> &records)
{
    std::map<AggregateId, int> lastPlace;
    for (const auto &[effectActivation, effect] : this->effects[slot]) {
        if (effectActivation > activation)
            break; // an owner that was replaced needn't hold what its successors do
        if (effect.mintedEpoch < completeSince)
            continue; // known to be missing, and never run again
        const auto record = std::find_if(
                records.begin(), records.end(),
                [&id = effect.aggregate](const AggregateRecord &held) { return held.id == id; });
        const int place = record == records.end() ? -1 : placeOf(effect.claim, record->entries);
        const std::string name = "claim " + std::to_string(effect.claim);
        if (place == -1)
            this->violate(name + " was committed and is lost");
        if (place == -2)
            this->violate(name + " stands twice in the journal");
        const auto last = lastPlace.find(effect.aggregate);
        if (place >= 0 && last != lastPlace.end() && place < last->second)
            this->violate(name + " stands out of order");
        lastPlace[effect.aggregate] = place;
    }
}

} // namespace lacewingmux

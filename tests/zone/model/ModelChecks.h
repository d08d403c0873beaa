#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_zone/journal/AggregateRecord.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lacewingmux {

/** One effect: a claim whose journal entry was committed, and which was then run. */
struct ModelEffect
{
    std::uint64_t claim = 0;
    std::uint64_t mintedEpoch = 0; ///< epoch of the zone when the claim was first made
    AggregateId aggregate;
};

/**
    Watches what the VMs of a model zone do, and notes every breach of an invariant.

    Effects are remembered by the checks themselves, outside of the VMs under test.
*/
class ModelChecks
{
public:
    /** A VM has become active: it must hold all effects of this and earlier activations. */
    void activated(const VmIncarnation &vm, SlotIndex slot, std::uint64_t activation,
                   std::uint64_t completeSince, const std::vector<AggregateRecord> &records);

    /** A VM runs a claim after the commit of its entry. */
    void effect(const VmIncarnation &vm, std::uint64_t activation, std::uint64_t completeSince,
                const ModelEffect &effect, const std::vector<AggregateRecord> &records);

    /** A VM was told that it still owned the slot after the moment of its question. */
    void confirmed(SlotIndex slot, std::uint64_t activation, std::uint64_t newestWhenAsked);

    /** Returns the highest activation of the slot that any VM has reached. */
    [[nodiscard]] std::uint64_t newestActivation(SlotIndex slot) const;

    void violate(const std::string &text);

    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return this->found;
    }
    [[nodiscard]] std::size_t effectCount() const noexcept
    {
        return this->ran.size();
    }
    [[nodiscard]] int incompleteActivations() const noexcept
    {
        return this->incomplete;
    }

private:
    void checkHeld(SlotIndex slot, std::uint64_t activation, std::uint64_t completeSince,
                   const std::vector<AggregateRecord> &records);

    std::map<SlotIndex, std::multimap<std::uint64_t, ModelEffect>> effects; ///< by activation
    std::set<std::uint64_t> ran;
    std::map<std::pair<SlotIndex, std::uint64_t>, VmIncarnation> committers;
    std::map<SlotIndex, std::uint64_t> newest;
    std::vector<std::string> found;
    int incomplete = 0;
};

} // namespace lacewingmux

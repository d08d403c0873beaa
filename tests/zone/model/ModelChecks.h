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
    std::uint64_t createdEpoch = 0; ///< epoch of the zone when the claim was created
    AggregateId aggregate;
};

/**
    Observes the VMs of a model zone and records every invariant violation.

    The checks keep the effects themselves, independent of the VMs under test.
*/
class ModelChecks
{
public:
    /** Checks that a newly active VM holds all effects of this and earlier activations. */
    void activated(const VmIncarnation &vm, SlotIndex slot, std::uint64_t activation,
                   std::uint64_t completeSince, const std::vector<AggregateRecord> &records);

    /** Records that a VM runs a claim after the commit of its entry, and checks it. */
    void effect(const VmIncarnation &vm, std::uint64_t activation, std::uint64_t completeSince,
                const ModelEffect &effect, const std::vector<AggregateRecord> &records);

    /** Checks a confirmation that the VM still owned the slot after its request. */
    void confirmed(SlotIndex slot, std::uint64_t activation, std::uint64_t newestWhenAsked);

    /** Returns the highest activation of the slot that any VM has reached. */
    [[nodiscard]] std::uint64_t newestActivation(SlotIndex slot) const;

    void addViolation(const std::string &text);

    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return this->foundViolations;
    }
    [[nodiscard]] std::size_t effectCount() const noexcept
    {
        return this->executedClaims.size();
    }
    [[nodiscard]] int incompleteActivations() const noexcept
    {
        return this->incomplete;
    }

private:
    void checkRecords(SlotIndex slot, std::uint64_t activation, std::uint64_t completeSince,
                      const std::vector<AggregateRecord> &records);

    std::map<SlotIndex, std::multimap<std::uint64_t, ModelEffect>> effects; ///< by activation
    std::set<std::uint64_t> executedClaims;
    std::map<std::pair<SlotIndex, std::uint64_t>, VmIncarnation> committers;
    std::map<SlotIndex, std::uint64_t> newest;
    std::vector<std::string> foundViolations;
    int incomplete = 0;
};

} // namespace lacewingmux

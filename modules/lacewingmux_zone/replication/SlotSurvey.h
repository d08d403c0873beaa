#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_zone/replication/SlotPosition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

class ViewHistory;

/**
    Finds out, for the owner of one slot in one epoch, which copy of the slot holds every entry
    that was ever committed.

    Whoever answers has adopted the epoch and takes part in no earlier one any more. The copy with
    the highest activation is authoritative if no later epoch can have become active: for each
    epoch in between, one of the two VMs that would have had to take part has answered, and it did
    not take part. Pure: no clock and no messages.
*/
class SlotSurvey
{
public:
    /** Where the authoritative copy is. */
    struct Finding
    {
        std::optional<VmIncarnation> holder; ///< nothing when the slot has never held an entry
        SlotPosition position;
    };

    /** Surveys a slot for the view of that epoch; the history must outlive the survey. */
    SlotSurvey(SlotIndex surveyedSlot, std::uint64_t viewEpoch, const ViewHistory &viewHistory);

    /** Takes in what a VM that has adopted the epoch holds. */
    void addAnswer(const VmIncarnation &vm, const SlotPosition &position);

    /** Returns the position that a VM answered, if it has. */
    [[nodiscard]] std::optional<SlotPosition> answer(const VmIncarnation &vm) const;

    [[nodiscard]] bool hasAnswered(const VmIncarnation &vm) const
    {
        return this->answers.contains(vm);
    }

    /** Returns the authoritative copy, or nothing while the answers don't prove one. */
    [[nodiscard]] std::optional<Finding> find() const;

    /** Returns everyone who held the slot in a known view, and hasn't answered. */
    [[nodiscard]] std::vector<VmIncarnation> silentHolders() const;

    /** Returns the highest activation that any answer tells of. */
    [[nodiscard]] std::uint64_t newestActivation() const;

private:
    [[nodiscard]] bool isRuledOut(std::uint64_t otherEpoch) const;

    SlotIndex slot;
    std::uint64_t epoch;
    const ViewHistory &history;
    std::map<VmIncarnation, SlotPosition> answers;
};

} // namespace lacewingmux

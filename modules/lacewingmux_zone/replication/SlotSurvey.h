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
    Determines, for the owner of one slot in one epoch, which copy of the slot holds every
    committed entry.

    A VM that answers has adopted the epoch and no longer takes part in earlier ones. The copy with
    the highest activation is authoritative if no later epoch can have become active: for each
    epoch in between, one of the two VMs required for its activation has answered and did not take
    part in it. This class uses no clock and sends no messages.
*/
class SlotSurvey
{
public:
    /** The location of the authoritative copy. */
    struct Finding
    {
        std::optional<VmIncarnation> holder; ///< empty if the slot was never active or is lost
        SlotPosition position;
    };

    /** Creates a survey of a slot for the view of the epoch; the history must outlive it. */
    SlotSurvey(SlotIndex surveyedSlot, std::uint64_t viewEpoch, const ViewHistory &viewHistory);

    /** Adds the position of a VM that has adopted the epoch. */
    void addAnswer(const VmIncarnation &vm, const SlotPosition &position);

    /** Returns the position that a VM has answered, if any. */
    [[nodiscard]] std::optional<SlotPosition> answer(const VmIncarnation &vm) const;

    [[nodiscard]] bool hasAnswered(const VmIncarnation &vm) const
    {
        return this->answers.contains(vm);
    }

    /** Returns the authoritative copy, or nothing while the answers don't prove one. */
    [[nodiscard]] std::optional<Finding> find() const;

    /** Returns all VMs that held the slot in a known view and haven't answered. */
    [[nodiscard]] std::vector<VmIncarnation> unansweredHolders() const;

    /** Returns the highest activation reported by any answer. */
    [[nodiscard]] std::uint64_t newestActivation() const;

private:
    [[nodiscard]] bool isRuledOut(std::uint64_t otherEpoch) const;

    SlotIndex slot;
    std::uint64_t epoch;
    const ViewHistory &history;
    std::map<VmIncarnation, SlotPosition> answers;
};

} // namespace lacewingmux

#include "lacewingmux_zone/replication/SlotSurvey.h"

#include "lacewingmux_zone/views/ViewHistory.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <algorithm>
#include <memory>
#include <set>

namespace lacewingmux {

namespace {

bool isAheadOf(const SlotPosition &left, const SlotPosition &right)
{
    if (left.activation != right.activation)
        return left.activation > right.activation;
    return left.sequence > right.sequence;
}

} // namespace

SlotSurvey::SlotSurvey(SlotIndex surveyedSlot, std::uint64_t viewEpoch,
                       const ViewHistory &viewHistory)
    : slot(surveyedSlot)
    , epoch(viewEpoch)
    , history(viewHistory)
{ }

void SlotSurvey::addAnswer(const VmIncarnation &vm, const SlotPosition &position)
{
    this->answers[vm] = position;
}

std::optional<SlotPosition> SlotSurvey::answer(const VmIncarnation &vm) const
{
    const auto found = this->answers.find(vm);
    if (found == this->answers.end())
        return std::nullopt;
    return found->second;
}

std::optional<SlotSurvey::Finding> SlotSurvey::find() const
{
    Finding best;
    for (const auto &[vm, position] : this->answers) {
        if (position.activation > 0 && isAheadOf(position, best.position))
            best = {vm, position};
    }
    if (best.position.activation < this->newestActivation())
        return std::nullopt;
    for (std::uint64_t between = best.position.activation + 1; between < this->epoch; ++between) {
        if (!this->isRuledOut(between))
            return std::nullopt;
    }
    return best;
}

std::vector<VmIncarnation> SlotSurvey::unansweredHolders() const
{
    std::set<VmIncarnation> silent;
    for (const auto &view : this->history.views()) {
        const SlotPlacement placed = view->placement(this->slot);
        if (placed.owner && !this->hasAnswered(*placed.owner))
            silent.insert(*placed.owner);
        if (placed.backup && !this->hasAnswered(*placed.backup))
            silent.insert(*placed.backup);
    }
    return {silent.begin(), silent.end()};
}

std::uint64_t SlotSurvey::newestActivation() const
{
    std::uint64_t newest = 0;
    for (const auto &[vm, position] : this->answers)
        newest = std::max({newest, position.activation, position.newestActivation});
    return newest;
}

bool SlotSurvey::isRuledOut(std::uint64_t otherEpoch) const
{
    const std::shared_ptr<const ZoneView> view = this->history.view(otherEpoch);
    if (!view)
        return false;
    const SlotPlacement placed = view->placement(this->slot);
    return (placed.owner && this->hasAnswered(*placed.owner))
           || (placed.backup && this->hasAnswered(*placed.backup));
}

} // namespace lacewingmux

#include "lacewingmux_zone/views/ZoneView.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <algorithm>

namespace lacewingmux {

ZoneView::ZoneView(QString zone, std::uint64_t epoch, std::vector<VmDescriptor> members)
    : viewZone(std::move(zone))
    , viewEpoch(epoch)
    , viewMembers(std::move(members))
{
    std::sort(this->viewMembers.begin(), this->viewMembers.end(),
              [](const VmDescriptor &left, const VmDescriptor &right) {
                  return left.incarnation < right.incarnation;
              });
}

bool ZoneView::contains(const VmIncarnation &vm) const
{
    return std::any_of(this->viewMembers.begin(), this->viewMembers.end(),
                       [&vm](const VmDescriptor &member) { return member.incarnation == vm; });
}

SlotPlacement ZoneView::placement(SlotIndex slot) const
{
    const VmIncarnation *first = nullptr;
    const VmIncarnation *second = nullptr;
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (const VmDescriptor &member : this->viewMembers) {
        const std::uint64_t weight =
                combineHashes(stableHash(member.incarnation.vm.toUtf8()), slot);
        if (first == nullptr || weight > firstWeight) {
            second = first;
            secondWeight = firstWeight;
            first = &member.incarnation;
            firstWeight = weight;
        } else if (second == nullptr || weight > secondWeight) {
            second = &member.incarnation;
            secondWeight = weight;
        }
    }

    SlotPlacement placement;
    if (first != nullptr)
        placement.owner = *first;
    if (second != nullptr)
        placement.backup = *second;
    return placement;
}

} // namespace lacewingmux

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

    std::vector<std::uint64_t> memberHashes;
    memberHashes.reserve(this->viewMembers.size());
    for (const VmDescriptor &member : this->viewMembers)
        memberHashes.push_back(stableHash(member.incarnation.vm.toUtf8()));
    for (SlotIndex slot = 0; slot < slotsPerZone; ++slot)
        this->holders[slot] = holdersOf(slot, memberHashes);
}

bool ZoneView::contains(const VmIncarnation &vm) const
{
    return std::any_of(this->viewMembers.begin(), this->viewMembers.end(),
                       [&vm](const VmDescriptor &member) { return member.incarnation == vm; });
}

SlotPlacement ZoneView::placement(SlotIndex slot) const
{
    const Holders &slotHolders = this->holders.at(slot);
    return SlotPlacement{this->memberAt(slotHolders.owner), this->memberAt(slotHolders.backup)};
}

ZoneView::Holders ZoneView::holdersOf(SlotIndex slot,
                                      const std::vector<std::uint64_t> &memberHashes)
{
    Holders result;
    std::uint64_t ownerWeight = 0;
    std::uint64_t backupWeight = 0;
    for (std::size_t index = 0; index < memberHashes.size(); ++index) {
        const std::uint64_t weight = combineHashes(memberHashes[index], slot);
        if (result.owner == noMember || weight > ownerWeight) {
            result.backup = result.owner;
            backupWeight = ownerWeight;
            result.owner = static_cast<std::uint16_t>(index);
            ownerWeight = weight;
        } else if (result.backup == noMember || weight > backupWeight) {
            result.backup = static_cast<std::uint16_t>(index);
            backupWeight = weight;
        }
    }
    return result;
}

std::optional<VmIncarnation> ZoneView::memberAt(std::uint16_t index) const
{
    if (index == noMember)
        return std::nullopt;
    return this->viewMembers[index].incarnation;
}

} // namespace lacewingmux

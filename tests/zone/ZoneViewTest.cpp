#include "lacewingmux_zone/views/ZoneView.h"
#include "lacewingmux_core/hashing/StableHash.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace lacewingmux;

namespace {

ZoneView viewOf(const std::vector<int> &numbers)
{
    std::vector<VmDescriptor> members;
    members.reserve(numbers.size());
    for (const int number : numbers) {
        VmDescriptor member;
        member.incarnation = {QStringLiteral("vm-%1").arg(number), QStringLiteral("z"), 1};
        members.push_back(member);
    }
    return ZoneView(QStringLiteral("z"), 1, members);
}

/** Computes the placement by sorting all members by rendezvous weight. */
SlotPlacement naivePlacement(const ZoneView &view, SlotIndex slot)
{
    std::vector<VmIncarnation> byWeight;
    for (const VmDescriptor &member : view.members())
        byWeight.push_back(member.incarnation);
    std::sort(byWeight.begin(), byWeight.end(), [slot](const auto &left, const auto &right) {
        return combineHashes(stableHash(left.vm.toUtf8()), slot)
               > combineHashes(stableHash(right.vm.toUtf8()), slot);
    });
    SlotPlacement placement;
    if (!byWeight.empty())
        placement.owner = byWeight[0];
    if (byWeight.size() > 1)
        placement.backup = byWeight[1];
    return placement;
}

} // namespace

Test(ZoneView, placesAsTheNaiveSortDoes)
{
    std::mt19937 random(3);
    for (int round = 0; round < 50; ++round) {
        std::vector<int> numbers;
        for (int number = 0; number < 40; ++number) {
            if (random() % 3 == 0)
                numbers.push_back(number);
        }
        const ZoneView view = viewOf(numbers);
        for (SlotIndex slot = 0; slot < slotsPerZone; ++slot)
            cr_assert(view.placement(slot) == naivePlacement(view, slot));
    }
}

Test(ZoneView, losingAVmMakesItsBackupTheOwner)
{
    const ZoneView before = viewOf({1, 2, 3, 4});
    const ZoneView after = viewOf({1, 2, 4});
    for (SlotIndex slot = 0; slot < slotsPerZone; ++slot) {
        const SlotPlacement old = before.placement(slot);
        const bool ownerLeft = old.owner->vm == QStringLiteral("vm-3");
        cr_assert(after.placement(slot).owner == (ownerLeft ? old.backup : old.owner));
    }
}

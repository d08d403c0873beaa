#include "lacewingmux_zone/views/ZoneView.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>

using namespace lacewingmux;

namespace {

ZoneView viewOf(int memberCount)
{
    std::vector<VmDescriptor> members;
    members.reserve(static_cast<std::size_t>(memberCount));
    for (int index = 0; index < memberCount; ++index) {
        VmDescriptor member;
        member.incarnation = {QStringLiteral("entry-vm-%1").arg(index), QStringLiteral("zone-a"),
                              1};
        members.push_back(member);
    }
    return ZoneView(QStringLiteral("zone-a"), 1, members);
}

/** Returns the shortest of several runs, which is least affected by other load. */
std::chrono::nanoseconds timeOfLookups(const ZoneView &view)
{
    constexpr int runs = 15;
    constexpr int lookupsPerRun = 40000;
    auto best = std::chrono::nanoseconds::max();
    for (int run = 0; run < runs; ++run) {
        const auto start = std::chrono::steady_clock::now();
        std::size_t owned = 0;
        for (int lookup = 0; lookup < lookupsPerRun; ++lookup)
            owned += view.placement(static_cast<SlotIndex>(lookup % slotsPerZone)).owner ? 1 : 0;
        cr_assert_eq(owned, lookupsPerRun);
        best = std::min<std::chrono::nanoseconds>(best, std::chrono::steady_clock::now() - start);
    }
    return best;
}

} // namespace

Test(PlacementBounds, lookupGrowsNoFasterThanTheLogarithmOfTheFleet)
{
    const double small = static_cast<double>(timeOfLookups(viewOf(8)).count());
    const double large = static_cast<double>(timeOfLookups(viewOf(880)).count());
    // log2(880) / log2(8) = 3.3
    cr_assert_lt(large / small, 3.3, "880 VMs cost %.2f times what 8 cost", large / small);
}

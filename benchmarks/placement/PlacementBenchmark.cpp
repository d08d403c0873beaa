#include "lacewingmux_zone/views/ZoneView.h"

#include <benchmark/benchmark.h>

namespace {

using namespace lacewingmux;

std::vector<VmDescriptor> membersOf(std::int64_t count)
{
    std::vector<VmDescriptor> members;
    members.reserve(static_cast<std::size_t>(count));
    for (std::int64_t index = 0; index < count; ++index) {
        VmDescriptor member;
        member.incarnation = {QStringLiteral("entry-vm-%1").arg(index), QStringLiteral("zone-a"),
                              1};
        members.push_back(member);
    }
    return members;
}

/** Looks up a slot's placement, as every request does. */
void placementLookup(benchmark::State &state)
{
    const ZoneView view(QStringLiteral("zone-a"), 1, membersOf(state.range(0)));
    SlotIndex slot = 0;
    for (auto iteration : state) {
        benchmark::DoNotOptimize(view.placement(slot));
        slot = static_cast<SlotIndex>((slot + 1) % slotsPerZone);
    }
}

/** Constructs a view, as every view change does once in each VM. */
void viewConstruction(benchmark::State &state)
{
    const auto members = membersOf(state.range(0));
    for (auto iteration : state)
        benchmark::DoNotOptimize(ZoneView(QStringLiteral("zone-a"), 1, members));
}

} // namespace

BENCHMARK(placementLookup)->Arg(2)->Arg(8)->Arg(37)->Arg(880);
BENCHMARK(viewConstruction)->Arg(2)->Arg(8)->Arg(37)->Arg(880);

#include "lacewingmux_zone/views/PlacementTable.h"

#include "lacewingmux_zone/views/ZoneView.h"

namespace lacewingmux {

PlacementTable::PlacementTable(const ZoneView &view)
{
    for (SlotIndex slot = 0; slot < slotsPerZone; ++slot)
        this->placements[slot] = view.placement(slot);
}

bool PlacementTable::holds(const VmIncarnation &vm, SlotIndex slot) const
{
    const SlotPlacement &placed = this->placements.at(slot);
    return placed.owner == vm || placed.backup == vm;
}

} // namespace lacewingmux

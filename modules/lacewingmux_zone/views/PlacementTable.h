#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_zone/views/SlotPlacement.h"

#include <array>

namespace lacewingmux {

class ZoneView;

/** The placement of every slot under one view, worked out once. */
class PlacementTable
{
public:
    explicit PlacementTable(const ZoneView &view);

    [[nodiscard]] const SlotPlacement &placement(SlotIndex slot) const
    {
        return this->placements.at(slot);
    }

    /** Tells whether the VM owns the slot or backs it up. */
    [[nodiscard]] bool holds(const VmIncarnation &vm, SlotIndex slot) const;

private:
    std::array<SlotPlacement, slotsPerZone> placements;
};

} // namespace lacewingmux

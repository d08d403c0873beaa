#pragma once

#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_zone/views/SlotPlacement.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

class PlacementTable;
class ZoneView;
struct VmDescriptor;

/**
    The views that a VM knows of one zone, by epoch: those it has adopted and those it was told of
    by the view record. Recovery asks it who held a slot in an earlier epoch.
*/
class ViewHistory
{
public:
    /** How many views are kept; older ones are forgotten. */
    static constexpr std::size_t keptViews = 64;

    /** Adds a view; one of a known epoch is ignored, for it is the same. */
    void add(std::shared_ptr<const ZoneView> view);

    /** Adds all views of another history. */
    void merge(const ViewHistory &other);

    /** Returns who held the slot in that epoch; null when that view isn't known. */
    [[nodiscard]] const PlacementTable *placements(std::uint64_t epoch) const;

    /** Returns the view of that epoch, or null. */
    [[nodiscard]] std::shared_ptr<const ZoneView> view(std::uint64_t epoch) const;

    /** Returns all known views in order of their epochs. */
    [[nodiscard]] std::vector<std::shared_ptr<const ZoneView>> views() const;

    /** Returns everyone who was a member of a known view, each incarnation once. */
    [[nodiscard]] std::vector<VmDescriptor> allMembers() const;

private:
    struct Known
    {
        std::shared_ptr<const ZoneView> view;
        std::shared_ptr<const PlacementTable> placements;
    };

    std::map<std::uint64_t, Known> knownByEpoch;
};

} // namespace lacewingmux

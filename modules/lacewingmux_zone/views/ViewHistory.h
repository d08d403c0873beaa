#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

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

    /** Returns the view of that epoch; null when it isn't known. */
    [[nodiscard]] std::shared_ptr<const ZoneView> view(std::uint64_t epoch) const;

    /** Returns all known views in order of their epochs. */
    [[nodiscard]] std::vector<std::shared_ptr<const ZoneView>> views() const;

    /** Returns everyone who was a member of a known view, each incarnation once. */
    [[nodiscard]] std::vector<VmDescriptor> allMembers() const;

private:
    std::map<std::uint64_t, std::shared_ptr<const ZoneView>> viewsByEpoch;
};

} // namespace lacewingmux

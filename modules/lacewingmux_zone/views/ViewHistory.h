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
    The known views of one zone, by epoch: those that this VM has adopted and those listed in the
    zone's record. Recovery uses it to determine which VMs held a slot in an earlier epoch.
*/
class ViewHistory
{
public:
    /** Maximum number of views kept; the oldest ones are discarded. */
    static constexpr std::size_t maxViews = 64;

    /** Adds a view. A view of a known epoch is ignored, since it is identical. */
    void add(std::shared_ptr<const ZoneView> view);

    /** Adds all views of another history. */
    void merge(const ViewHistory &other);

    /** Returns the view of that epoch; null if it isn't known. */
    [[nodiscard]] std::shared_ptr<const ZoneView> view(std::uint64_t epoch) const;

    /** Returns all known views in order of their epochs. */
    [[nodiscard]] std::vector<std::shared_ptr<const ZoneView>> views() const;

    /** Returns the members of all known views, each incarnation once. */
    [[nodiscard]] std::vector<VmDescriptor> allMembers() const;

private:
    std::map<std::uint64_t, std::shared_ptr<const ZoneView>> viewsByEpoch;
};

} // namespace lacewingmux

#include "lacewingmux_zone/views/ViewHistory.h"

#include "lacewingmux_zone/views/PlacementTable.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <set>
#include <utility>

namespace lacewingmux {

void ViewHistory::add(std::shared_ptr<const ZoneView> view)
{
    if (!view || view->epoch() == 0 || this->knownByEpoch.contains(view->epoch()))
        return;
    const std::uint64_t epoch = view->epoch();
    const auto table = std::make_shared<const PlacementTable>(*view);
    this->knownByEpoch.emplace(epoch, Known{std::move(view), table});
    while (this->knownByEpoch.size() > keptViews)
        this->knownByEpoch.erase(this->knownByEpoch.begin());
}

void ViewHistory::merge(const ViewHistory &other)
{
    this->knownByEpoch.insert(other.knownByEpoch.begin(), other.knownByEpoch.end());
    while (this->knownByEpoch.size() > keptViews)
        this->knownByEpoch.erase(this->knownByEpoch.begin());
}

const PlacementTable *ViewHistory::placements(std::uint64_t epoch) const
{
    const auto found = this->knownByEpoch.find(epoch);
    return found == this->knownByEpoch.end() ? nullptr : found->second.placements.get();
}

std::shared_ptr<const ZoneView> ViewHistory::view(std::uint64_t epoch) const
{
    const auto found = this->knownByEpoch.find(epoch);
    return found == this->knownByEpoch.end() ? nullptr : found->second.view;
}

std::vector<std::shared_ptr<const ZoneView>> ViewHistory::views() const
{
    std::vector<std::shared_ptr<const ZoneView>> known;
    known.reserve(this->knownByEpoch.size());
    for (const auto &[epoch, entry] : this->knownByEpoch)
        known.push_back(entry.view);
    return known;
}

std::vector<VmDescriptor> ViewHistory::allMembers() const
{
    std::set<VmIncarnation> seen;
    std::vector<VmDescriptor> members;
    for (const auto &[epoch, entry] : this->knownByEpoch) {
        for (const VmDescriptor &member : entry.view->members()) {
            if (seen.insert(member.incarnation).second)
                members.push_back(member);
        }
    }
    return members;
}

} // namespace lacewingmux

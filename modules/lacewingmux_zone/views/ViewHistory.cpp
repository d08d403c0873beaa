#include "lacewingmux_zone/views/ViewHistory.h"

#include "lacewingmux_zone/views/ZoneView.h"

#include <set>
#include <utility>

namespace lacewingmux {

void ViewHistory::add(std::shared_ptr<const ZoneView> view)
{
    if (!view || view->epoch() == 0)
        return;
    const std::uint64_t epoch = view->epoch();
    this->viewsByEpoch.emplace(epoch, std::move(view));
    while (this->viewsByEpoch.size() > maxViews)
        this->viewsByEpoch.erase(this->viewsByEpoch.begin());
}

void ViewHistory::merge(const ViewHistory &other)
{
    for (const auto &[epoch, view] : other.viewsByEpoch)
        this->add(view);
}

std::shared_ptr<const ZoneView> ViewHistory::view(std::uint64_t epoch) const
{
    const auto found = this->viewsByEpoch.find(epoch);
    return found == this->viewsByEpoch.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const ZoneView>> ViewHistory::views() const
{
    std::vector<std::shared_ptr<const ZoneView>> known;
    known.reserve(this->viewsByEpoch.size());
    for (const auto &[epoch, view] : this->viewsByEpoch)
        known.push_back(view);
    return known;
}

std::vector<VmDescriptor> ViewHistory::allMembers() const
{
    std::set<VmIncarnation> seen;
    std::vector<VmDescriptor> members;
    for (const auto &[epoch, view] : this->viewsByEpoch) {
        for (const VmDescriptor &member : view->members()) {
            if (seen.insert(member.incarnation).second)
                members.push_back(member);
        }
    }
    return members;
}

} // namespace lacewingmux

#include "lacewingmux_zone/views/FleetViews.h"

namespace lacewingmux {

FleetViews::FleetViews(std::map<QString, std::shared_ptr<const ZoneView>> views)
    : viewsByZone(std::move(views))
{ }

std::shared_ptr<const ZoneView> FleetViews::view(const QString &zone) const
{
    const auto found = this->viewsByZone.find(zone);
    return found == this->viewsByZone.end() ? nullptr : found->second;
}

std::optional<VmIncarnation> FleetViews::ownerOf(const AggregateId &aggregate) const
{
    const auto zoneView = this->view(aggregate.zone());
    if (!zoneView)
        return std::nullopt;
    return zoneView->placement(aggregate.slot()).owner;
}

std::vector<VmDescriptor> FleetViews::allMembers() const
{
    std::vector<VmDescriptor> members;
    for (const auto &[zone, zoneView] : this->viewsByZone)
        members.insert(members.end(), zoneView->members().begin(), zoneView->members().end());
    return members;
}

} // namespace lacewingmux

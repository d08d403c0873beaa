#include "lacewingmux_http/forward/OwnerFinder.h"

#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/FleetViews.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewingmux {

OwnerFinder::OwnerFinder(const PeerHub &trafficHub)
    : hub(trafficHub)
    , views(std::make_shared<FleetViews>())
{ }

void OwnerFinder::adoptViews(std::shared_ptr<const FleetViews> newViews)
{
    this->views = std::move(newViews);
}

OwnerLocation OwnerFinder::ownerOf(const AggregateId &aggregate) const
{
    if (aggregate.zone() != this->hub.self().zone && !this->isReachable(aggregate.zone()))
        return {std::nullopt, true};
    const auto owner = this->views->ownerOf(aggregate);
    if (owner && (*owner == this->hub.self() || this->hub.isConnected(*owner)))
        return {owner, false};
    return {};
}

OwnerLocation OwnerFinder::anyOwner(std::size_t refusals) const
{
    std::vector<VmIncarnation> candidates{this->hub.self()};
    if (const auto zoneView = this->views->view(this->hub.self().zone)) {
        for (const VmDescriptor &member : zoneView->members()) {
            if (this->hub.isConnected(member.incarnation))
                candidates.push_back(member.incarnation);
        }
    }
    return {candidates[refusals % candidates.size()], false};
}

bool OwnerFinder::hasLeft(const VmIncarnation &vm) const
{
    const auto zoneView = this->views->view(vm.zone);
    return zoneView != nullptr && !zoneView->contains(vm);
}

std::uint64_t OwnerFinder::epochOf(const QString &zone) const
{
    const auto zoneView = this->views->view(zone);
    return zoneView ? zoneView->epoch() : 0;
}

bool OwnerFinder::isReachable(const QString &zone) const
{
    const auto zoneView = this->views->view(zone);
    return zoneView != nullptr
           && std::any_of(zoneView->members().begin(), zoneView->members().end(),
                          [this](const VmDescriptor &member) {
                              return this->hub.isConnected(member.incarnation);
                          });
}

} // namespace lacewingmux

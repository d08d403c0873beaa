#include "lacewingmux_backend/orders/OrderLease.h"

#include "lacewingmux_zone/views/ZoneView.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

OrderLease::OrderLease(VmIncarnation ownIncarnation, const OrderLeaseSettings &leaseSettings)
    : self(std::move(ownIncarnation))
    , settings(leaseSettings)
{ }

void OrderLease::adoptView(const ZoneView &view, SteadyTime now)
{
    if (view.epoch() <= this->epoch)
        return;
    this->epoch = view.epoch();
    this->isMember = view.contains(this->self);
    this->issueNotBefore = now + this->settings.leaseDuration + this->settings.safetyMargin;
    this->otherMembers.clear();
    this->leaseStartedAt.clear();
    for (const VmDescriptor &member : view.members()) {
        if (member.incarnation != this->self)
            this->otherMembers.push_back(member.incarnation);
    }
}

void OrderLease::acknowledged(const VmIncarnation &member, std::uint64_t acknowledgedEpoch,
                              SteadyTime requestedAt)
{
    if (acknowledgedEpoch != this->epoch)
        return;
    SteadyTime &latest = this->leaseStartedAt[member];
    latest = std::max(latest, requestedAt);
}

bool OrderLease::mayIssue(bool engineChecksFencing, SteadyTime now) const
{
    if (!this->isMember)
        return false;
    return engineChecksFencing || (now >= this->issueNotBefore && this->holdsLease(now));
}

bool OrderLease::holdsLease(SteadyTime now) const
{
    return std::all_of(this->otherMembers.begin(), this->otherMembers.end(),
                       [this, now](const VmIncarnation &member) {
                           const auto found = this->leaseStartedAt.find(member);
                           return found != this->leaseStartedAt.end()
                                  && now < found->second + this->settings.leaseDuration;
                       });
}

} // namespace lacewingmux

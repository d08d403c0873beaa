#include "lacewingmux_backend/orders/OrderLease.h"

#include "lacewingmux_zone/views/ZoneView.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

OrderLease::OrderLease(VmIncarnation ownIncarnation, const OrderLeaseSettings &issuerSettings)
    : self(std::move(ownIncarnation))
    , settings(issuerSettings)
{ }

void OrderLease::adoptView(const ZoneView &view, SteadyTime now)
{
    if (view.epoch() <= this->epoch)
        return;
    this->epoch = view.epoch();
    this->isMember = view.contains(this->self);
    this->quietUntil = now + this->settings.lease + this->settings.margin;
    this->others.clear();
    this->acknowledgedAt.clear();
    for (const VmDescriptor &member : view.members()) {
        if (member.incarnation != this->self)
            this->others.push_back(member.incarnation);
    }
}

void OrderLease::acknowledged(const VmIncarnation &member, std::uint64_t acknowledgedEpoch,
                              SteadyTime askedAt)
{
    if (acknowledgedEpoch != this->epoch)
        return;
    SteadyTime &latest = this->acknowledgedAt[member];
    latest = std::max(latest, askedAt);
}

bool OrderLease::mayIssue(bool engineChecksFencing, SteadyTime now) const
{
    if (!this->isMember)
        return false;
    return engineChecksFencing || (now >= this->quietUntil && this->holdsLease(now));
}

bool OrderLease::holdsLease(SteadyTime now) const
{
    return std::all_of(this->others.begin(), this->others.end(),
                       [this, now](const VmIncarnation &member) {
                           const auto found = this->acknowledgedAt.find(member);
                           return found != this->acknowledgedAt.end()
                                  && now < found->second + this->settings.lease;
                       });
}

} // namespace lacewingmux

#include "lacewingmux_backend/orders/OrderIssuer.h"

#include "lacewingmux_zone/views/ZoneView.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

OrderIssuer::OrderIssuer(VmIncarnation ownIncarnation, const OrderIssuerSettings &issuerSettings)
    : self(std::move(ownIncarnation))
    , settings(issuerSettings)
{ }

void OrderIssuer::adoptView(const ZoneView &view, SteadyTime now)
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

void OrderIssuer::acknowledged(const VmIncarnation &member, std::uint64_t acknowledgedEpoch,
                               SteadyTime askedAt)
{
    if (acknowledgedEpoch != this->epoch)
        return;
    SteadyTime &latest = this->acknowledgedAt[member];
    latest = std::max(latest, askedAt);
}

bool OrderIssuer::mayIssue(bool engineChecksFencing, SteadyTime now) const
{
    if (!this->isMember)
        return false;
    return engineChecksFencing || (now >= this->quietUntil && this->holdsLease(now));
}

bool OrderIssuer::holdsLease(SteadyTime now) const
{
    return std::all_of(this->others.begin(), this->others.end(),
                       [this, now](const VmIncarnation &member) {
                           const auto found = this->acknowledgedAt.find(member);
                           return found != this->acknowledgedAt.end()
                                  && now < found->second + this->settings.lease;
                       });
}

} // namespace lacewingmux

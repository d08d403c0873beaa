#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

class ZoneView;

/** Parameters of an OrderLease. */
struct OrderLeaseSettings
{
    std::chrono::milliseconds leaseDuration{4000}; ///< how long an acknowledgement permits orders
    std::chrono::milliseconds safetyMargin{1000};  ///< covers clock drift and orders in transit
};

/**
    Determines whether this VM may send orders to engines.

    An engine that checks fencing tokens gets orders at any time, numbered with the zone epoch. To
    one that doesn't, this VM sends orders only while it holds a lease: every other member of its
    zone view has acknowledged the view's epoch within the lease, counted from when the
    acknowledgement was requested. A member that has adopted a later epoch no longer acknowledges
    the earlier one, so a replaced VM stops within one lease. After every change of the view
    this VM waits for a lease and a safety margin, by which time a replaced VM has stopped. A VM
    alone in its view needs no acknowledgement: nobody else can be promoted.

    Performs no I/O and reads no clock. All times must come from one steady clock that keeps running
    while the process is paused.
*/
class OrderLease
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit OrderLease(VmIncarnation ownIncarnation, const OrderLeaseSettings &leaseSettings = {});

    /** Adopts a zone view. A view whose epoch is not higher than the current one has no effect. */
    void adoptView(const ZoneView &view, SteadyTime now);

    /** Records that a member acknowledged the epoch in reply to a request of the given time. */
    void acknowledged(const VmIncarnation &member, std::uint64_t epoch, SteadyTime requestedAt);

    /** Returns whether an order may be sent now. */
    [[nodiscard]] bool mayIssue(bool engineChecksFencing, SteadyTime now) const;

    /** Returns the fencing token that orders carry. */
    [[nodiscard]] std::uint64_t fencingToken() const noexcept
    {
        return this->epoch;
    }

private:
    [[nodiscard]] bool holdsLease(SteadyTime now) const;

    VmIncarnation self;
    OrderLeaseSettings settings;
    std::uint64_t epoch = 0;
    bool isMember = false;
    SteadyTime issueNotBefore;
    std::vector<VmIncarnation> otherMembers;
    std::unordered_map<VmIncarnation, SteadyTime> leaseStartedAt;
};

} // namespace lacewingmux

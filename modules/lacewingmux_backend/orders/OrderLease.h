#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

class ZoneView;

/** Parameters of OrderLease. */
struct OrderLeaseSettings
{
    std::chrono::milliseconds lease{4000};  ///< how long an acknowledgement lets orders go out
    std::chrono::milliseconds margin{1000}; ///< for clocks that run apart and orders on their way
};

/**
    Decides whether this VM may give orders to engines.

    An engine that checks fencing numbers gets orders at any time, numbered with the zone epoch. To
    one that doesn't, this VM sends orders only while it holds a lease: every other member of its
    zone view has acknowledged the view's epoch within the lease, counted from when the
    acknowledgement was asked for. A member that has adopted a later epoch acknowledges the earlier
    one no more, so a VM that was replaced stops within one lease. After every change of the view
    this VM waits for a lease and a margin, in which a replaced VM surely has stopped. A VM alone
    in its view needs no acknowledgement: nobody else can be promoted.

    Pure; times come from one steady clock that goes on while the process is paused.
*/
class OrderLease
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit OrderLease(VmIncarnation ownIncarnation,
                        const OrderLeaseSettings &issuerSettings = {});

    /** Adopts a zone view; one with an epoch that is not higher changes nothing. */
    void adoptView(const ZoneView &view, SteadyTime now);

    /** Notes that a member has acknowledged the epoch, asked at the given time. */
    void acknowledged(const VmIncarnation &member, std::uint64_t epoch, SteadyTime askedAt);

    /** Tells whether an order may be sent now. */
    [[nodiscard]] bool mayIssue(bool engineChecksFencing, SteadyTime now) const;

    /** Returns the number that orders carry. */
    [[nodiscard]] std::uint64_t fencing() const noexcept
    {
        return this->epoch;
    }

private:
    [[nodiscard]] bool holdsLease(SteadyTime now) const;

    VmIncarnation self;
    OrderLeaseSettings settings;
    std::uint64_t epoch = 0;
    bool isMember = false;
    SteadyTime quietUntil;
    std::vector<VmIncarnation> others;
    std::unordered_map<VmIncarnation, SteadyTime> acknowledgedAt;
};

} // namespace lacewingmux

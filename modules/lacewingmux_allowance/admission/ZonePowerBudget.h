#pragma once

#include "lacewingmux_allowance/admission/PowerBudget.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace lacewingmux {

class AllowanceOwner;
class Configuration;
class FleetViews;
class PeerHub;
class TimerService;
struct PowerReply;

/**
    The front's gate of electric power: holds a batch of its zone's power and reserves from it.

    It asks the owner of the zone's PowerAllowance for more when short, names its whole holding
    again while it holds any, and gives back what it doesn't need. New sequences start only within
    the power lease of the last answered request, so a VM that was cut off starts none once its
    zone may have taken the power back.
*/
class ZonePowerBudget final : public PowerBudget
{
public:
    using Callback = std::function<void(std::optional<PowerReservation>)>;

    /** Makes the gate; the owner is that of the same VM. */
    ZonePowerBudget(PeerHub &trafficHub, AllowanceOwner &ownAllowances, TimerService &timerService);
    ~ZonePowerBudget() override;

    void reserve(double watts, Callback callback) override;

    /** Adopts the configuration that names the cap; without a cap every reservation succeeds. */
    void adoptConfiguration(std::shared_ptr<const Configuration> accepted);

    /** Adopts the views that name the owner. */
    void adoptViews(std::shared_ptr<const FleetViews> fleetViews);

    /** Returns the power of running sequences, in watts. */
    [[nodiscard]] double watts() const noexcept;

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Waiter
    {
        double watts = 0;
        Callback callback;
        Time deadline;
    };
    struct Request
    {
        std::uint64_t sequence = 0;
        Time sentAt;
    };

    [[nodiscard]] bool canStart(double watts) const;
    [[nodiscard]] PowerReservation startSequence(double watts);
    [[nodiscard]] double waitingWatts() const;
    void release(double watts);
    void serveWaiting();
    void refuseWaiting(bool overdueOnly);
    void sendPowerRequest(double totalWatts);
    void deliver(const VmIncarnation &sender, const PowerReply &reply);
    void refresh();

    PeerHub &hub;
    AllowanceOwner &owner;
    TimerService &timers;
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const FleetViews> views;
    double inUse = 0;
    double granted = 0;
    std::optional<Time> grantedUntil; ///< end of the power lease
    std::uint64_t lastSequence = 0;
    std::optional<Request> pending; ///< the last request, until answered
    std::deque<Waiter> waiters;
    TimerSubscription refreshTimer;
    std::shared_ptr<bool> alive; ///< ends calls of reservations and owner with this
};

} // namespace lacewingmux

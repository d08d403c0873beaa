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
    The front's power budget, which obtains electric power of its zone in batches and makes
    reservations from it.

    It requests more power from the owner of the zone's PowerAllowance when short, renews the total
    periodically while it holds any, and returns what it doesn't need. New sequences start only
    within the power lease, which counts from the last request that was answered, so a VM that is
    partitioned starts none once its zone may have reclaimed the power.
*/
class ZonePowerBudget final : public PowerBudget
{
public:
    using Callback = std::function<void(std::optional<PowerReservation>)>;

    /** Creates the budget; ownAllowances is the allowance owner of the same VM. */
    ZonePowerBudget(PeerHub &trafficHub, AllowanceOwner &ownAllowances, TimerService &timerService);
    ~ZonePowerBudget() override;

    void reserve(double watts, Callback callback) override;

    /** Sets the configuration that defines the cap; without a cap every reservation succeeds. */
    void adoptConfiguration(std::shared_ptr<const Configuration> accepted);

    /** Sets the views that determine the owner. */
    void adoptViews(std::shared_ptr<const FleetViews> fleetViews);

    /** Returns the power reserved for running sequences, in watts. */
    [[nodiscard]] double wattsInUse() const noexcept;

private:
    using Time = std::chrono::steady_clock::time_point;

    struct WaitingReservation
    {
        double watts = 0;
        Callback callback;
        Time deadline;
    };
    struct SentPowerRequest
    {
        std::uint64_t sequence = 0;
        Time sentAt;
    };

    [[nodiscard]] bool canStart(double watts) const;
    [[nodiscard]] PowerReservation makeReservation(double watts);
    [[nodiscard]] double waitingWatts() const;
    void release(double watts);
    void serveWaiting();
    void refuseWaiting(bool overdueOnly);
    void sendPowerRequest(double totalWatts);
    void handleReply(const VmIncarnation &sender, const PowerReply &reply);
    void refresh();

    PeerHub &hub;
    AllowanceOwner &owner;
    TimerService &timers;
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const FleetViews> views;
    double inUseWatts = 0;           ///< reserved for running sequences
    double usableWatts = 0;          ///< total up to which sequences may start during the lease
    std::optional<Time> leaseEndsAt; ///< when the power lease ends
    std::uint64_t lastRequestNumber = 0;
    std::optional<SentPowerRequest> unansweredRequest; ///< the last request, until it is answered
    std::deque<WaitingReservation> waitingReservations;
    TimerSubscription refreshTimer;
    std::shared_ptr<bool> alive; ///< false once destroyed; disables pending callbacks
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_allowance/admission/AdmissionGate.h"
#include "lacewingmux_allowance/admission/OwnerEstimates.h"
#include "lacewingmux_allowance/admission/TokenCache.h"
#include "lacewingmux_allowance/aggregates/DecayingRate.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

class AllowanceOwner;
class Configuration;
class FleetViews;
class MetricsRecorder;
class PeerHub;
class TimerService;
struct PeerFrame;

/**
    The front's gate: admits a request for each token it holds of the team.

    It asks the owner in its own zone, ahead of need by recent demand, and the owners in other
    zones when its own has none or can't be reached. Each owner debits its own zone's share, so
    borrowing never raises the whole. When nobody has a token it refuses at once, with the time of
    the next one; when no owner can be reached, as OwnerUnavailable.
*/
class TeamAdmission final : public AdmissionGate
{
public:
    using Callback = std::function<void(const AdmissionDecision &)>;

    /** Makes the gate; the owner is that of the same VM. */
    TeamAdmission(PeerHub &trafficHub, AllowanceOwner &ownAllowances, TimerService &timerService,
                  MetricsRecorder &metricsRecorder);
    ~TeamAdmission() override;

    void admit(const QString &team, Callback callback) override;

    /** Adopts the configuration that names the teams. */
    void adoptConfiguration(std::shared_ptr<const Configuration> accepted);

    /** Adopts the views that name the owners. */
    void adoptViews(std::shared_ptr<const FleetViews> fleetViews);

    /** Sets whether owners in other zones are asked; for measurements. On by default. */
    void setBorrowing(bool allowed);

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Waiter
    {
        Callback callback;
        Time deadline;
    };
    struct Team
    {
        Team();

        TokenCache tokenCache;
        OwnerEstimates estimates;
        DecayingRate demand;
        std::deque<Waiter> waiters;
        std::uint32_t arrivals = 0; ///< requests not yet reported to the own zone's owner
        std::set<std::uint64_t> awaitedReplies; ///< whose answers the waiting requests wait for
        TimerSubscription replyTimer;
        TimerSubscription reportTimer;
        bool reportDue = false;
    };
    struct SentRequest
    {
        QString team;
        QString zone;
        VmIncarnation owner;
        Time sentAt;
    };

    void processQueue(const QString &name, Team &team);
    void admitWaiting(Team &team);
    void requestForWaiting(const QString &name, Team &team);
    [[nodiscard]] bool requestTokens(const QString &name, Team &team, const QString &zone,
                                     MicroTokens needed);
    [[nodiscard]] std::optional<std::uint64_t> send(const QString &name, const QString &zone,
                                                    const struct GrantRequest &request);
    void sendLocally(const struct GrantRequest &request, std::uint64_t correlation);
    void deliver(const VmIncarnation &owner, std::uint64_t correlation,
                 const struct GrantReply &reply);
    void applyReply(Team &team, const SentRequest &sentRequest, const struct GrantReply &reply);
    void handleTimeout(const QString &name);
    void refuseWaiting(const QString &name, Team &team);
    void refuse(const Waiter &waiter, const QString &name, const Team &team);
    void refuseOverdue(const QString &name, Team &team);
    void prefetchTokens(const QString &name, Team &team);
    void returnExpiringTokens();
    void reportSoon(const QString &name, Team &team);
    void report(const QString &name, Team &team);
    [[nodiscard]] std::uint32_t takeArrivals(Team &team, const QString &zone) const;
    void dropExpiredRequests();
    [[nodiscard]] std::vector<QString> zonesInOrder(const QString &name) const;
    [[nodiscard]] static MicroTokens prefetchAmount(const Team &team, Time now);

    PeerHub &hub;
    AllowanceOwner &owner;
    TimerService &timers;
    MetricsRecorder &metrics;
    const QString ownZone;
    bool borrowing = true;
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const FleetViews> views;
    std::map<QString, Team> teams;
    std::map<std::uint64_t, SentRequest>
            sentRequests; ///< by correlation, until their tokens would be expired
    std::uint64_t nextCorrelation = 1;
    TimerSubscription returnTimer;
    std::shared_ptr<bool> alive; ///< ends calls of the owner with this
};

} // namespace lacewingmux

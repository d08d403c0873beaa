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
    The front's admission gate, which spends one token of the team for each admitted request.

    Tokens are prefetched from the owner in the own zone according to recent demand, and requested
    from owners in other zones when the own zone has too few or its owner can't be reached. Each
    owner debits its own zone's share, so borrowing never exceeds the fleet-wide limit. When no
    zone has a token, requests are rejected at once with the time until the next one. When no
    owner can be reached, they are rejected as OwnerUnavailable.
*/
class TeamAdmission final : public AdmissionGate
{
public:
    using Callback = std::function<void(const AdmissionDecision &)>;

    /** Creates the gate; ownAllowances is the allowance owner of the same VM. */
    TeamAdmission(PeerHub &trafficHub, AllowanceOwner &ownAllowances, TimerService &timerService,
                  MetricsRecorder &metricsRecorder);
    ~TeamAdmission() override;

    void admit(const QString &team, Callback callback) override;

    /** Sets the configuration that defines the teams. */
    void adoptConfiguration(std::shared_ptr<const Configuration> accepted);

    /** Sets the views that determine the owners. */
    void adoptViews(std::shared_ptr<const FleetViews> fleetViews);

    /** Sets whether tokens are requested from other zones. On by default; off in measurements. */
    void setBorrowing(bool allowed);

private:
    using Time = std::chrono::steady_clock::time_point;

    struct WaitingRequest
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
        std::deque<WaitingRequest> waitingRequests;
        std::uint32_t arrivals = 0; ///< requests not yet reported to the own zone's owner
        std::set<std::uint64_t> awaitedReplies; ///< correlation ids of the awaited replies
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
    void handleReply(const VmIncarnation &owner, std::uint64_t correlation,
                     const struct GrantReply &reply);
    void applyReply(Team &team, const SentRequest &sentRequest, const struct GrantReply &reply);
    void handleTimeout(const QString &name);
    void refuseWaiting(const QString &name, Team &team);
    void refuse(const WaitingRequest &waiting, const QString &name, const Team &team);
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
    /** By correlation id, until granted tokens would have expired. */
    std::map<std::uint64_t, SentRequest> sentRequests;
    std::uint64_t nextCorrelation = 1;
    TimerSubscription returnTimer;
    std::shared_ptr<bool> alive; ///< false once destroyed; disables pending callbacks
};

} // namespace lacewingmux

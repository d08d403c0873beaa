#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/GatewaySettings.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

class IngressConnection;
class ForwardedCall;
class IngressServer;
class MetricsRecorder;
class RoutingTable;
class TeamQuota;
class TurnStore;

/**
    The front of one VM: takes callers' requests, and forwards each to a replica. It holds nothing
    that has to outlive it. Everything runs on the thread that owns it.
*/
class Gateway
{
public:
    /** Listens at once. Throws LacewingmuxError when the address can't be listened on. */
    Gateway(const GatewaySettings &gatewaySettings, TimerService &timerService,
            CallDialect callDialect, TeamQuota &teamQuota, TurnStore &turnLedger,
            MetricsRecorder &metricsRecorder, CrashSuspicions::CrashHook crashHook);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Takes a configuration into force for calls that arrive from now on. */
    void setRoutingTable(std::shared_ptr<const RoutingTable> newTable);

    /** Takes the replicas that exist now. */
    void setReplicas(const std::vector<ReplicaInstance> &instances);

    /** Takes a crash under a request that another VM found. */
    void addRemoteCrash(const CrashCoincidence &coincidence);

    /** Tells whether enough records VMs can be reached for quotas and turns. While they can't, what
        needs them is refused at once, and callers are led to other VMs. */
    void setRecordsReachable(bool reachable);

    /** Starts a planned stop: answers all that has been read, and lets connections end. The hook
        is called when nothing is left to do. */
    void beginStop(std::function<void()> drained);

    /** Returns the port on which callers are served. */
    [[nodiscard]] std::uint16_t port() const;

private:
    void handleRequest(const std::shared_ptr<IngressConnection> &caller, HttpRequest request);
    void handleLeave(const IngressConnection *caller);
    void continueStop();
    void continueDetour();
    [[nodiscard]] std::optional<std::chrono::milliseconds> detour() const;

    GatewaySettings settings;
    TimerService &timers;
    CallDialect dialect;
    TeamQuota &quota;
    TurnStore &ledger;
    MetricsRecorder &metrics;
    ReplicaFleet fleet;
    std::shared_ptr<const RoutingTable> table;
    std::unique_ptr<IngressServer> ingress;
    std::map<const IngressConnection *, std::shared_ptr<ForwardedCall>> calls;
    std::function<void()> whenDrained;
    std::optional<TimerService::SteadyTime>
            recordsLost; ///< when they could not be reached any more
    TimerSubscription detourTimer;
    TimerService::SteadyTime stopBegan;
    TimerSubscription stopTimer;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/calls/CallDialect.h"
#include "lacewingmux_gateway/forwarding/GatewaySettings.h"
#include "lacewingmux_gateway/forwarding/ServiceAdmission.h"
#include "lacewingmux_gateway/forwarding/StopSchedule.h"
#include "lacewingmux_gateway/http/MemoryAccount.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
    The HTTP gateway of one VM: accepts callers' requests and forwards each to a replica. It keeps
    no durable state. All of it runs on the thread that owns it.
*/
class Gateway
{
public:
    /** Starts listening. Throws LacewingmuxError if listening on the address fails. */
    Gateway(const GatewaySettings &gatewaySettings, TimerService &timerService,
            CallDialect callDialect, TeamQuota &teamQuota, TurnStore &turnStoreClient,
            MetricsRecorder &metricsRecorder, CrashCorrelator::CrashHook crashHook);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Sets the configuration for calls that arrive from now on. */
    void setRoutingTable(std::shared_ptr<const RoutingTable> newTable);

    /** Sets the registered replicas. */
    void setReplicas(const std::vector<ReplicaInstance> &instances);

    /** Sets the zones whose replicas get no calls, at the operators' request. */
    void setEvacuatedZones(const std::set<QByteArray> &zones);

    /** Sets the VMs that open tunnels to replicas that this VM cannot reach directly. */
    void setTunnelEndpoints(const std::vector<TunnelEndpoint> &endpoints);

    /** Uses no open tunnel of the VM again, because it has begun a planned stop. */
    void recordTunnelStop(const QString &vm);

    /** Adds a crash coincidence that another VM observed. */
    void addRemoteCoincidence(const CrashCoincidence &coincidence);

    /** Records that a replica has answered a run of a suspected request at another VM. */
    void addRemoteCompletion(const CrashCoincidence &run);

    /** Sets the hook that receives each suspected request that a replica has answered, so that
        other VMs can be notified. */
    void setCompletionHook(CrashCorrelator::CompletionHook hook);

    /** Sets whether enough records VMs are reachable for quotas and turns. While they are not,
        calls that need them are refused at once, and their connections are closed so that callers
        use other VMs. */
    void setRecordsReachable(bool reachable);

    /** Returns the bytes that the unfinished responses of all calls take. */
    [[nodiscard]] qsizetype bufferedResponseBytes() const noexcept
    {
        return this->responseMemory.usedBytes();
    }

    /** Starts a planned stop, unless one has begun: accepts what ends in time for certain, and
        refuses other requests; closes each connection after its next response. The hook is called
        when all calls and connections have ended, or the limit has passed and the calls that were
        left have been ended. */
    void beginStop(std::function<void()> drained);

    /** Returns the port on which callers are served. */
    [[nodiscard]] std::uint16_t port() const;

private:
    void handleRequest(const std::shared_ptr<IngressConnection> &caller, HttpRequest request);
    /** Logs which replicas are treated as cold from now on, or no longer. */
    void reportColdReplicas();
    void handleCallerDisconnected(const IngressConnection *caller);
    void continueStop();
    void endStop(bool drained);
    [[nodiscard]] std::vector<std::shared_ptr<ForwardedCall>> openCalls() const;
    void closeIdleForFailover();
    [[nodiscard]] std::optional<std::chrono::milliseconds> recordsUnreachableRetryDelay() const;

    GatewaySettings settings;
    TimerService &timers;
    CallDialect dialect;
    TeamQuota &quota;
    TurnStore &turnStore;
    MetricsRecorder &metrics;
    ReplicaFleet fleet;
    ServiceAdmission admission;
    MemoryAccount responseMemory;
    MemoryAccount historyMemory;
    std::shared_ptr<const RoutingTable> table;
    std::unique_ptr<IngressServer> ingress;
    std::map<const IngressConnection *, std::shared_ptr<ForwardedCall>> calls;
    std::function<void()> drainedHook;
    std::optional<TimerService::SteadyTime> recordsUnreachableSince;
    TimerSubscription failoverTimer;
    TimerSubscription coldReportTimer;
    std::optional<StopSchedule> stop; ///< of the planned stop, once it has begun
    TimerSubscription stopTimer;
    TimerSubscription stopLimitTimer;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/replicas/CrashCorrelator.h"
#include "lacewingmux_gateway/replicas/Placement.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"
#include "lacewingmux_tunnel/client/ConnectResult.h"
#include "lacewingmux_tunnel/client/StreamRoute.h"
#include "lacewingmux_tunnel/client/TunnelDirectory.h"

#include <QByteArray>
#include <QHash>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lacewingmux {

class ReachabilityProbe;
class ReplicaConnection;
class SharedReading;

/**
    The registered replicas, the connection pool, and the placement of calls on replicas.

    A replica that this VM cannot connect to directly is reached through tunnels of other VMs, if
   one of them can connect to it. So a VM that has lost its links to the replicas, but not those to
    other VMs, goes on serving its callers.
*/
class ReplicaFleet
{
public:
    /** The hook receives each crash, while running a request, that this VM detects. */
    ReplicaFleet(const QByteArray &zone, const PlacementSettings &placementSettings,
                 TimerService &timerService, CrashCorrelator::CrashHook crashHook,
                 QByteArray tunnelSecret = {});
    ~ReplicaFleet();
    ReplicaFleet(const ReplicaFleet &) = delete;
    ReplicaFleet &operator=(const ReplicaFleet &) = delete;

    /** Sets the registered replicas, and closes idle connections to all others. */
    void setReplicas(const std::vector<ReplicaInstance> &instances);

    /** Sets the zones whose replicas get no calls, and closes idle connections to them. */
    void setEvacuatedZones(std::set<QByteArray> zones);

    /** Returns whether the replica is in an evacuated zone. */
    [[nodiscard]] bool isEvacuated(const ReplicaInstance &replica) const
    {
        return this->replicaPlacement.evacuatedZones().contains(replica.zone);
    }

    /** Sets the VMs that open tunnels to replicas. */
    void setTunnelEndpoints(const std::vector<TunnelEndpoint> &endpoints);

    /** Records that connecting to the replica directly failed. It is then probed periodically until
        it is reachable, and gets calls through tunnels. If no tunnel reaches it either, it gets
        calls only when no other replica can take them. */
    void recordUnreachable(const QByteArray &id);

    /** Records that data arrived on a direct connection to a replica. */
    void recordDirectContact()
    {
        this->lastDirectContact = this->timers.now();
    }

    /** Returns whether this VM, rather than one replica, may have lost its links: no data has
        arrived on direct connections since the time, and other VMs can open tunnels. */
    [[nodiscard]] bool mayHaveLostLinks(TimerService::SteadyTime since) const;

    /** Records that the replica could not be reached through a tunnel, although the tunnel's VM
        tried. */
    void recordUnreachableThroughTunnel(const QByteArray &id);

    /** Returns the use of a VM for a tunnel; null if no VM can open one now. */
    [[nodiscard]] std::shared_ptr<const TunnelUse> takeTunnel();

    /** Records that a VM did not open a tunnel. Its idle tunnels are closed. */
    void recordTunnelFailure(const QString &vm);

    /** Records that a VM that opens tunnels has begun a planned stop. Its idle tunnels are closed.
     */
    void recordTunnelStop(const QString &vm);

    /** Records that the replica announced that it is leaving. The start time (Unix time in
        milliseconds) is that of the incarnation to which the request was sent. Its idle connections
        are closed, and it gets calls only when no other replica can take them, until the drain
        limit. */
    void recordLeaving(const QByteArray &id, std::int64_t startMilliseconds);

    /** Records the limit in requests per second that a response of the replica names, if any. The
        start time (Unix time in milliseconds) is that of the incarnation to which the request was
        sent. */
    void recordLimit(const QByteArray &id, std::int64_t startMilliseconds,
                     std::optional<double> requestsPerSecond);

    /** Logs a load report that is not valid, unless one was logged within the last second. */
    void recordInvalidLoad(const QByteArray &id, const QByteArray &text);

    /** Returns the detector of requests that crash replicas. */
    [[nodiscard]] CrashCorrelator &crashCorrelator() noexcept
    {
        return this->correlator;
    }

    [[nodiscard]] Placement &placement() noexcept
    {
        return this->replicaPlacement;
    }

    /** Returns the replica, or null when it is not registered. */
    [[nodiscard]] const ReplicaInstance *instance(const QByteArray &id) const;

    /** Returns a connection to the replica for a request with this id, which may be empty: an idle
        one that can tell its response from late ones, or a new one. It leads through a tunnel if
        the replica is not reachable directly. Returns null when the replica is not registered. */
    [[nodiscard]] std::shared_ptr<ReplicaConnection> acquire(const QByteArray &id,
                                                             const QByteArray &requestId);

    /** Checks whether an unresponsive replica is still reachable directly or, unless null, through
        the tunnel's VM. Concurrent checks of the same way share one connection attempt. */
    void probe(const QByteArray &id, const std::shared_ptr<const TunnelUse> &tunnel,
               std::function<void(ConnectResult)> callback);

    /** The same for one of many calls of a silent replica: they share one attempt per interval, as
        each one takes a place in the replica's queue of new connections. */
    void probeSilent(const QByteArray &id, const std::shared_ptr<const TunnelUse> &tunnel,
                     std::function<void(ConnectResult)> callback);

    /** Checks shortly whether the replica still accepts connections, because it has closed one
        before its response was complete. The check uses the tunnel unless it is null. */
    void checkForCrash(const QByteArray &id, const std::shared_ptr<const TunnelUse> &tunnel);

    /** Checks shortly whether a replica that has answered a request survived it, by an idle
        connection that is still open or by a new one. The callback is called if it has. */
    void checkSurvival(const QByteArray &id, const std::shared_ptr<const TunnelUse> &tunnel,
                       std::function<void()> survived);

    /** Returns a connection to the incarnation with this start time after its exchange. It is
       pooled if it is reusable and that incarnation still accepts calls. */
    void release(const QByteArray &id, std::int64_t startMilliseconds,
                 std::shared_ptr<ReplicaConnection> connection);

private:
    using ConnectionList = std::vector<std::shared_ptr<ReplicaConnection>>;

    /** Half of the initial delay in which an unreachable replica gets no calls. */
    static constexpr std::chrono::milliseconds probeInterval{500};

    /** One connection attempt and the callbacks that wait for its result. */
    struct Probe
    {
        std::unique_ptr<ReachabilityProbe> attempt;
        std::vector<std::function<void(ConnectResult)>> waiting;
    };

    struct EndedProbe
    {
        TimerService::SteadyTime time;
        ConnectResult result;
    };

    /** A check whether a replica still accepts connections, and the callbacks if it does. */
    struct CrashCheck
    {
        TimerSubscription timer;
        bool needsProbe = false; ///< an idle connection that is still open does not suffice
        std::vector<std::function<void()>> survived;
    };

    using ProbeKey = std::pair<QByteArray, QString>; ///< instance, and VM of the tunnel if any

    [[nodiscard]] StreamRoute routeTo(const ReplicaInstance &replica,
                                      std::shared_ptr<const TunnelUse> tunnel) const;
    [[nodiscard]] bool isReusable(const ReplicaConnection &connection) const;
    /** Removes and returns the idle connection that was used last, of those that suit the request;
        null if there is none. */
    [[nodiscard]] std::shared_ptr<ReplicaConnection> takeIdle(const QByteArray &id,
                                                              const QByteArray &requestId);
    /** Records with the crash correlator that no path to the replica is left. */
    void reportToCorrelator(const QByteArray &id);
    void finishProbe(const ProbeKey &key, ConnectResult result);
    void handleDirectProbe(const QByteArray &id, ConnectResult result);
    /** Finds out whether a replica that is unreachable directly is reachable through a tunnel. */
    void tryTunnel(const QByteArray &id);
    void handleTunnelProbe(const QByteArray &id, ConnectResult result);
    /** Probes the replicas that have not been found unreachable yet, at most once per interval. */
    void probeOthers();
    /** Probes the replicas of a zone that have not been found unreachable yet, at most once per
        interval. A zone is often cut off as a whole, and its replicas may be cold when it returns;
        those that get no call meanwhile would not be found unreachable otherwise. */
    void probeZone(const QByteArray &zone);
    void probeDirectly(const std::vector<QByteArray> &ids);
    CrashCheck &scheduleCrashCheck(const QByteArray &id,
                                   const std::shared_ptr<const TunnelUse> &tunnel);
    void runCrashCheck(const ProbeKey &key, const std::shared_ptr<const TunnelUse> &tunnel);
    [[nodiscard]] bool hasOpenConnection(const QByteArray &id) const;
    /** Probes replicas that have not been found unreachable yet, to find failures that a suspected
        request did not cause. */
    void probeForFailures();
    void closeStaleConnections();
    /** Probes the next few of the unreachable replicas. */
    void probeUnreachable();

    TimerService &timers;
    Placement replicaPlacement;
    CrashCorrelator correlator;
    QHash<QByteArray, ReplicaInstance> instances;
    QHash<QByteArray, ConnectionList> idle; ///< by instance, most recently used last
    TunnelDirectory tunnels;
    QByteArray secret;
    std::shared_ptr<SharedReading> reading; ///< by all connections
    std::map<ProbeKey, Probe> probes;       ///< in progress
    std::map<ProbeKey, EndedProbe> endedProbes;
    std::map<ProbeKey, CrashCheck> crashChecks; ///< that are due
    std::map<QByteArray, bool> unreachable;     ///< directly; whether a tunnel reaches the instance
    TimerService::SteadyTime lastDirectContact;
    QByteArray lastProbed;                   ///< of the unreachable instances
    TimerService::SteadyTime othersProbed;   ///< when probeOthers() last probed
    TimerService::SteadyTime failuresProbed; ///< when probeForFailures() last probed
    std::optional<TimerService::SteadyTime> invalidLoadLogged;
    TimerService::SteadyTime zoneProbed; ///< when probeZone() last probed
    TimerSubscription probeTimer;
    TimerSubscription cleanupTimer;
};

} // namespace lacewingmux

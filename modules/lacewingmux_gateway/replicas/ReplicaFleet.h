#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/replicas/CrashCorrelator.h"
#include "lacewingmux_gateway/replicas/Placement.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <QByteArray>
#include <QHash>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

class ReachabilityProbe;
class ReplicaConnection;

/** The registered replicas, the connection pool, and the placement of calls on replicas. */
class ReplicaFleet
{
public:
    /** The hook receives each crash, while running a request, that this VM detects. */
    ReplicaFleet(const QByteArray &zone, const PlacementSettings &placementSettings,
                 TimerService &timerService, CrashCorrelator::CrashHook crashHook);
    ~ReplicaFleet();
    ReplicaFleet(const ReplicaFleet &) = delete;
    ReplicaFleet &operator=(const ReplicaFleet &) = delete;

    /** Sets the registered replicas, and closes idle connections to all others. */
    void setReplicas(const std::vector<ReplicaInstance> &instances);

    /** Records that connecting to the replica failed. It is then probed periodically until it is
        reachable, and gets calls only when no other replica can take them. */
    void recordUnreachable(const QByteArray &id);

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

    /** Returns an idle or new connection to the replica; null when it is not registered. */
    [[nodiscard]] std::shared_ptr<ReplicaConnection> acquire(const QByteArray &id);

    /** Checks whether an unresponsive replica is still reachable. Concurrent checks of the same
        replica share one connection attempt. */
    void probe(const QByteArray &id, std::function<void(bool reachable)> callback);

    /** Returns a connection to the incarnation with this start time after its exchange. It is
       pooled if it is reusable and that incarnation still accepts calls. */
    void release(const QByteArray &id, std::int64_t startMilliseconds,
                 std::shared_ptr<ReplicaConnection> connection);

private:
    using ConnectionList = std::vector<std::shared_ptr<ReplicaConnection>>;

    /** One connection attempt and the callbacks that wait for its result. */
    struct Probe
    {
        std::unique_ptr<ReachabilityProbe> attempt;
        std::vector<std::function<void(bool)>> waiting;
    };

    void finishProbe(const QByteArray &id, bool reachable);
    void closeStaleConnections();
    void probeUnreachable();

    TimerService &timers;
    Placement replicaPlacement;
    CrashCorrelator correlator;
    QHash<QByteArray, ReplicaInstance> instances;
    QHash<QByteArray, ConnectionList> idle; ///< by instance, most recently used last
    std::map<QByteArray, Probe> probes;     ///< in progress, by instance
    std::set<QByteArray> unreachable;       ///< instances
    TimerSubscription probeTimer;
    TimerSubscription cleanupTimer;
};

} // namespace lacewingmux

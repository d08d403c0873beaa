#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/replicas/CrashSuspicions.h"
#include "lacewingmux_gateway/replicas/Placement.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <QByteArray>
#include <QHash>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

class ReachabilityProbe;
class ReplicaConnection;

/** The replicas that exist, the connections to them, and the decision which one gets a call. */
class ReplicaFleet
{
public:
    /** The hook gets each crash under a request that was found here. */
    ReplicaFleet(const QByteArray &zone, TimerService &timerService,
                 CrashSuspicions::CrashHook crashHook);
    ~ReplicaFleet();
    ReplicaFleet(const ReplicaFleet &) = delete;
    ReplicaFleet &operator=(const ReplicaFleet &) = delete;

    /** Takes the replicas that exist now, and closes idle connections to the others. */
    void setReplicas(const std::vector<ReplicaInstance> &instances);

    /** Notes that no connection to the replica came about. Until one does, it is tried again and
        again without a call, and gets calls only when no other replica can take them. */
    void noteUnreachable(const QByteArray &id);

    /** Returns the requests that crash replicas. */
    [[nodiscard]] CrashSuspicions &suspicions() noexcept
    {
        return this->crashes;
    }

    [[nodiscard]] Placement &placement() noexcept
    {
        return this->decisions;
    }

    /** Returns the replica, or null when it is gone. */
    [[nodiscard]] const ReplicaInstance *instance(const QByteArray &id) const;

    /** Returns a connection to the replica that no exchange uses; null when the replica is gone. */
    [[nodiscard]] std::shared_ptr<ReplicaConnection> acquire(const QByteArray &id);

    /** Asks whether a replica that fell silent can still be reached. Calls that ask about the same
        replica share one attempt to connect. */
    void probe(const QByteArray &id, std::function<void(bool reachable)> callback);

    /** Takes a connection back after its exchange; it is kept if another exchange may use it. */
    void release(const QByteArray &id, std::shared_ptr<ReplicaConnection> connection);

private:
    using Idle = std::vector<std::shared_ptr<ReplicaConnection>>;

    /** One attempt to connect, and who waits for it. */
    struct Probe
    {
        std::unique_ptr<ReachabilityProbe> attempt;
        std::vector<std::function<void(bool)>> waiting;
    };

    void finishProbe(const QByteArray &id, bool reachable);
    void dropStale();
    void tryUnreachable();

    TimerService &timers;
    Placement decisions;
    CrashSuspicions crashes;
    QHash<QByteArray, ReplicaInstance> instances;
    QHash<QByteArray, Idle> idle;       ///< by instance, most recently used last
    std::map<QByteArray, Probe> probes; ///< under way, by instance
    std::set<QByteArray> unreachable;   ///< instances
    TimerSubscription retry;
    TimerSubscription sweep;
};

} // namespace lacewingmux

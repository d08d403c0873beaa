#pragma once

#include "lacewingmux_backend/clients/ReplicaProbe.h"
#include "lacewingmux_backend/replicas/ReplicaHealth.h"
#include "lacewingmux_backend/replicas/ReplicaRecord.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <QHash>
#include <QString>

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

class ConnectionPool;
class ReplicaSet;

/** What a ReplicaMonitor tells. */
struct ReplicaMonitorListener
{
    std::function<void(const QString &replica)> healthChanged;
    std::function<void(const QString &replica)> restarted; ///< also: its memory is gone
};

/**
    Watches over the replicas that this VM calls: breaks the circuit to those that can't be
    reached, probes them until they are back, and tells a crash from a broken connection.

    A crash is a replica that refuses connections, or answers from another start of its process
    than before. A replica that doesn't name its start and is back before the probe is taken for
    alive.
*/
class ReplicaMonitor
{
public:
    ReplicaMonitor(ConnectionPool &connectionPool, TimerService &timerService,
                   std::mt19937_64 &randomSource, ReplicaMonitorListener monitorListener);
    ReplicaMonitor(const ReplicaMonitor &) = delete;
    ReplicaMonitor &operator=(const ReplicaMonitor &) = delete;

    /** Takes the replicas that exist now and what they tell of their start. */
    void adopt(const ReplicaSet &replicas);

    /** Tells whether the circuit to the replica is broken. */
    [[nodiscard]] bool isBroken(const QString &replica) const;

    /** Tells whether the replica has been broken for so long that no call should wait for it. */
    [[nodiscard]] bool isConsideredDown(const QString &replica) const;

    /** Returns the name of the start of the replica's process, empty when not known. */
    [[nodiscard]] QString instance(const QString &replica) const;

    /** Notes that a connection was refused or could not be made. */
    void unreachable(const QString &replica);

    /** Notes that a call timed out. */
    void timedOut(const QString &replica);

    /** Notes that a call was answered. */
    void answered(const QString &replica);

    /** Finds out whether the replica has crashed since its process had the given start. */
    void checkForCrash(const QString &replica, const QString &previousInstance,
                       std::function<void(bool crashed)> callback);

private:
    struct CrashCheck
    {
        QString previousInstance;
        std::function<void(bool crashed)> callback;
    };
    struct MonitoredReplica
    {
        ReplicaRecord record;
        ReplicaHealth health;
        QString instance;
        TimerService::SteadyTime instanceAt; ///< when the instance was learned
        std::unique_ptr<ReplicaProbe> probe;
        TimerSubscription nextProbe;
        std::vector<CrashCheck> crashChecks;
    };

    void probe(MonitoredReplica &monitored);
    void probeFinished(const QString &replica, const ProbeResult &result);
    void updateHealth(MonitoredReplica &monitored, ProbeOutcome outcome);
    void updateInstance(MonitoredReplica &monitored, const QString &instance,
                        TimerService::SteadyTime at);
    void scheduleProbe(MonitoredReplica &monitored, bool wasBroken);
    [[nodiscard]] MonitoredReplica *find(const QString &replica);

    ConnectionPool &connections;
    TimerService &timers;
    std::mt19937_64 &random;
    ReplicaMonitorListener listener;
    std::unordered_map<QString, MonitoredReplica> replicas;
};

} // namespace lacewingmux

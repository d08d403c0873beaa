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

/** Callbacks of a ReplicaMonitor. */
struct ReplicaMonitorListener
{
    std::function<void(const QString &replica)> healthChanged;
    std::function<void(const QString &replica)> restarted; ///< its cached prefixes are lost
};

/**
    Monitors the replicas that this VM calls. Opens the circuit to replicas that cannot be reached,
    probes them until they respond again, and distinguishes a crash from a lost connection.

    A replica has crashed when it refuses connections or responds from another process instance
    than before. A crash remains undetected when the replica does not report its instance and has
    restarted before the probe.
*/
class ReplicaMonitor
{
public:
    ReplicaMonitor(ConnectionPool &connectionPool, TimerService &timerService,
                   std::mt19937_64 &randomSource, ReplicaMonitorListener monitorListener);
    ReplicaMonitor(const ReplicaMonitor &) = delete;
    ReplicaMonitor &operator=(const ReplicaMonitor &) = delete;

    /** Sets the current replicas and the process instances from their load reports. */
    void adopt(const ReplicaSet &replicas);

    /** Returns whether the replica is marked as broken, that is, its circuit is open. */
    [[nodiscard]] bool isBroken(const QString &replica) const;

    /** Returns whether the replica has been broken for so long that calls should no longer wait
        for it. */
    [[nodiscard]] bool isConsideredDown(const QString &replica) const;

    /** Returns the id of the replica's process instance, or an empty string when unknown. */
    [[nodiscard]] QString instance(const QString &replica) const;

    /** Records that a connection to the replica was refused or could not be established. */
    void unreachable(const QString &replica);

    /** Records that a call to the replica timed out. */
    void timedOut(const QString &replica);

    /** Records that the replica answered a call. */
    void answered(const QString &replica);

    /** Probes the replica and reports whether it has crashed since it ran as the given process
        instance. */
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
        TimerService::SteadyTime instanceReportedAt;
        std::unique_ptr<ReplicaProbe> probe;
        TimerSubscription nextProbe;
        std::vector<CrashCheck> crashChecks;
    };

    void probe(MonitoredReplica &monitored);
    void probeFinished(const QString &replica, const ProbeResult &result);
    void updateHealth(MonitoredReplica &monitored, ProbeOutcome outcome);
    void updateInstance(MonitoredReplica &monitored, const QString &instance,
                        TimerService::SteadyTime at);
    /** Schedules the next probe of a broken replica. Unless it was already broken, also logs that
        it broke and calls the listener's healthChanged. */
    void handleBroken(MonitoredReplica &monitored, bool wasAlreadyBroken);
    [[nodiscard]] MonitoredReplica *find(const QString &replica);

    ConnectionPool &connections;
    TimerService &timers;
    std::mt19937_64 &random;
    ReplicaMonitorListener listener;
    std::unordered_map<QString, MonitoredReplica> replicas;
};

} // namespace lacewingmux

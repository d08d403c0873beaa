#include "lacewingmux_backend/dispatch/ReplicaMonitor.h"

#include "lacewingmux_backend/replicas/ReplicaSet.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/time/TimerService.h"

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds probeTimeout{1000};

} // namespace

ReplicaMonitor::ReplicaMonitor(ConnectionPool &connectionPool, TimerService &timerService,
                               std::mt19937_64 &randomSource,
                               ReplicaMonitorListener monitorListener)
    : connections(connectionPool)
    , timers(timerService)
    , random(randomSource)
    , listener(std::move(monitorListener))
{ }

void ReplicaMonitor::adopt(const ReplicaSet &set)
{
    std::vector<CrashCheck> abandonedChecks;
    for (auto monitored = this->replicas.begin(); monitored != this->replicas.end();) {
        if (set.find(monitored->first)) {
            ++monitored;
            continue;
        }
        std::move(monitored->second.crashChecks.begin(), monitored->second.crashChecks.end(),
                  std::back_inserter(abandonedChecks));
        monitored = this->replicas.erase(monitored);
    }
    for (const ReplicaSnapshot &replica : set.replicas()) {
        MonitoredReplica &monitored = this->replicas[replica.record.name];
        monitored.record = replica.record;
        if (replica.load)
            this->updateInstance(monitored, replica.load->load.instance, replica.load->measuredAt);
    }
    for (const CrashCheck &crashCheck : abandonedChecks)
        crashCheck.callback(false);
}

bool ReplicaMonitor::isBroken(const QString &replica) const
{
    const auto found = this->replicas.find(replica);
    return found != this->replicas.end() && found->second.health.isBroken();
}

bool ReplicaMonitor::isConsideredDown(const QString &replica) const
{
    const auto found = this->replicas.find(replica);
    return found != this->replicas.end() && found->second.health.isConsideredDown();
}

QString ReplicaMonitor::instance(const QString &replica) const
{
    const auto found = this->replicas.find(replica);
    return found == this->replicas.end() ? QString() : found->second.instance;
}

void ReplicaMonitor::unreachable(const QString &replica)
{
    MonitoredReplica *monitored = this->find(replica);
    if (!monitored)
        return;
    const bool wasBroken = monitored->health.isBroken();
    monitored->health.unreachable();
    this->handleBroken(*monitored, wasBroken);
}

void ReplicaMonitor::timedOut(const QString &replica)
{
    MonitoredReplica *monitored = this->find(replica);
    if (!monitored)
        return;
    const bool wasBroken = monitored->health.isBroken();
    monitored->health.timedOut();
    if (monitored->health.isBroken())
        this->handleBroken(*monitored, wasBroken);
}

void ReplicaMonitor::answered(const QString &replica)
{
    if (MonitoredReplica *monitored = this->find(replica))
        monitored->health.answered();
}

void ReplicaMonitor::checkForCrash(const QString &replica, const QString &previousInstance,
                                   std::function<void(bool crashed)> callback)
{
    MonitoredReplica *monitored = this->find(replica);
    if (!monitored) {
        this->timers.post([callback = std::move(callback)] { callback(false); });
        return;
    }
    monitored->crashChecks.push_back({previousInstance, std::move(callback)});
    this->probe(*monitored);
}

void ReplicaMonitor::probe(MonitoredReplica &monitored)
{
    if (monitored.probe)
        return;
    monitored.nextProbe.cancel();
    const QString name = monitored.record.name;
    monitored.probe = std::make_unique<ReplicaProbe>(
            this->connections, this->timers, monitored.record, probeTimeout,
            [this, name](const ProbeResult &result) { this->probeFinished(name, result); });
}

void ReplicaMonitor::probeFinished(const QString &replica, const ProbeResult &result)
{
    MonitoredReplica *monitored = this->find(replica);
    if (!monitored)
        return;
    const auto finishedProbe = std::move(monitored->probe);
    const auto crashChecks = std::exchange(monitored->crashChecks, {});
    this->updateHealth(*monitored, result.outcome);
    if (result.outcome == ProbeOutcome::Alive)
        this->updateInstance(*monitored, result.instance, this->timers.now());
    // The callbacks may change or remove the replica, so it is not accessed after this point.
    for (const CrashCheck &crashCheck : crashChecks) {
        const bool restarted = !result.instance.isEmpty() && !crashCheck.previousInstance.isEmpty()
                               && result.instance != crashCheck.previousInstance;
        crashCheck.callback(result.outcome == ProbeOutcome::Refused || restarted);
    }
}

void ReplicaMonitor::updateHealth(MonitoredReplica &monitored, ProbeOutcome outcome)
{
    const bool wasBroken = monitored.health.isBroken();
    if (outcome == ProbeOutcome::Alive) {
        monitored.health.probeSucceeded();
        if (wasBroken) {
            LogEvent(LogSeverity::Info, "replicaServesAgain")
                    .field("replica", monitored.record.name);
            this->listener.healthChanged(monitored.record.name);
        }
        return;
    }
    if (outcome == ProbeOutcome::Refused)
        monitored.health.unreachable();
    else
        monitored.health.timedOut();
    const bool wasConsideredDown = monitored.health.isConsideredDown();
    if (wasBroken)
        monitored.health.probeFailed();
    if (monitored.health.isConsideredDown() && !wasConsideredDown)
        this->listener.healthChanged(monitored.record.name);
    if (monitored.health.isBroken())
        this->handleBroken(monitored, wasBroken);
}

void ReplicaMonitor::updateInstance(MonitoredReplica &monitored, const QString &instance,
                                    TimerService::SteadyTime at)
{
    if (at <= monitored.instanceReportedAt)
        return;
    monitored.instanceReportedAt = at;
    const QString before = std::exchange(monitored.instance, instance);
    if (!before.isEmpty() && before != instance)
        this->listener.restarted(monitored.record.name);
}

void ReplicaMonitor::handleBroken(MonitoredReplica &monitored, bool wasAlreadyBroken)
{
    const double randomFraction = std::uniform_real_distribution<double>(0, 1)(this->random);
    const QString name = monitored.record.name;
    monitored.nextProbe =
            this->timers.after(monitored.health.probeDelay(randomFraction), [this, name] {
                if (MonitoredReplica *broken = this->find(name))
                    this->probe(*broken);
            });
    if (wasAlreadyBroken)
        return;
    LogEvent(LogSeverity::Warning, "replicaBroken").field("replica", name);
    this->listener.healthChanged(name);
}

ReplicaMonitor::MonitoredReplica *ReplicaMonitor::find(const QString &replica)
{
    const auto found = this->replicas.find(replica);
    return found == this->replicas.end() ? nullptr : &found->second;
}

} // namespace lacewingmux

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
    std::vector<Inquiry> orphaned;
    for (auto watched = this->replicas.begin(); watched != this->replicas.end();) {
        if (set.find(watched->first)) {
            ++watched;
            continue;
        }
        std::move(watched->second.inquiries.begin(), watched->second.inquiries.end(),
                  std::back_inserter(orphaned));
        watched = this->replicas.erase(watched);
    }
    for (const ReplicaSnapshot &replica : set.replicas()) {
        Watched &watched = this->replicas[replica.record.name];
        watched.record = replica.record;
        if (replica.load)
            this->noteInstance(watched, replica.load->load.instance, replica.load->measuredAt);
    }
    for (const Inquiry &inquiry : orphaned)
        inquiry.callback(false);
}

bool ReplicaMonitor::isBroken(const QString &replica) const
{
    const auto found = this->replicas.find(replica);
    return found != this->replicas.end() && found->second.health.isBroken();
}

bool ReplicaMonitor::isGivenUp(const QString &replica) const
{
    const auto found = this->replicas.find(replica);
    return found != this->replicas.end() && found->second.health.isGivenUp();
}

QString ReplicaMonitor::instance(const QString &replica) const
{
    const auto found = this->replicas.find(replica);
    return found == this->replicas.end() ? QString() : found->second.instance;
}

void ReplicaMonitor::unreachable(const QString &replica)
{
    Watched *watched = this->find(replica);
    if (!watched)
        return;
    const bool wasBroken = watched->health.isBroken();
    watched->health.failed();
    this->probeLater(*watched, wasBroken);
}

void ReplicaMonitor::timedOut(const QString &replica)
{
    Watched *watched = this->find(replica);
    if (!watched)
        return;
    const bool wasBroken = watched->health.isBroken();
    watched->health.timedOut();
    if (watched->health.isBroken())
        this->probeLater(*watched, wasBroken);
}

void ReplicaMonitor::answered(const QString &replica)
{
    if (Watched *watched = this->find(replica))
        watched->health.answered();
}

void ReplicaMonitor::inquire(const QString &replica, const QString &instanceBefore,
                             std::function<void(bool crashed)> callback)
{
    Watched *watched = this->find(replica);
    if (!watched) {
        this->timers.post([callback = std::move(callback)] { callback(false); });
        return;
    }
    watched->inquiries.push_back({instanceBefore, std::move(callback)});
    this->probe(*watched);
}

void ReplicaMonitor::probe(Watched &watched)
{
    if (watched.probe)
        return;
    watched.nextProbe.cancel();
    const QString name = watched.record.name;
    watched.probe = std::make_unique<ReplicaProbe>(
            this->connections, this->timers, watched.record, probeTimeout,
            [this, name](const ProbeResult &result) { this->probed(name, result); });
}

void ReplicaMonitor::probed(const QString &replica, const ProbeResult &result)
{
    Watched *watched = this->find(replica);
    if (!watched)
        return;
    const auto finishedProbe = std::move(watched->probe);
    const auto inquiries = std::exchange(watched->inquiries, {});
    this->noteHealth(*watched, result.outcome);
    if (result.outcome == ProbeOutcome::Alive)
        this->noteInstance(*watched, result.instance, this->timers.now());
    // Nothing of the replica is touched any more: the callbacks may change everything.
    for (const Inquiry &inquiry : inquiries) {
        const bool restarted = !result.instance.isEmpty() && !inquiry.instanceBefore.isEmpty()
                               && result.instance != inquiry.instanceBefore;
        inquiry.callback(result.outcome == ProbeOutcome::Refused || restarted);
    }
}

void ReplicaMonitor::noteHealth(Watched &watched, ProbeOutcome outcome)
{
    const bool wasBroken = watched.health.isBroken();
    if (outcome == ProbeOutcome::Alive) {
        watched.health.probeSucceeded();
        if (wasBroken) {
            LogEvent(LogSeverity::Info, "replicaServesAgain").field("replica", watched.record.name);
            this->listener.healthChanged(watched.record.name);
        }
        return;
    }
    if (outcome == ProbeOutcome::Refused)
        watched.health.failed();
    else
        watched.health.timedOut();
    const bool wasGivenUp = watched.health.isGivenUp();
    if (wasBroken)
        watched.health.probeFailed();
    if (watched.health.isGivenUp() && !wasGivenUp)
        this->listener.healthChanged(watched.record.name);
    if (watched.health.isBroken())
        this->probeLater(watched, wasBroken);
}

void ReplicaMonitor::noteInstance(Watched &watched, const QString &instance,
                                  TimerService::SteadyTime at)
{
    if (at <= watched.instanceAt)
        return;
    watched.instanceAt = at;
    const QString before = std::exchange(watched.instance, instance);
    if (!before.isEmpty() && before != instance)
        this->listener.restarted(watched.record.name);
}

void ReplicaMonitor::probeLater(Watched &watched, bool wasBroken)
{
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    const QString name = watched.record.name;
    watched.nextProbe = this->timers.after(watched.health.probeDelay(draw), [this, name] {
        if (Watched *broken = this->find(name))
            this->probe(*broken);
    });
    if (wasBroken)
        return;
    LogEvent(LogSeverity::Warning, "replicaBroken").field("replica", name);
    this->listener.healthChanged(name);
}

ReplicaMonitor::Watched *ReplicaMonitor::find(const QString &replica)
{
    const auto found = this->replicas.find(replica);
    return found == this->replicas.end() ? nullptr : &found->second;
}

} // namespace lacewingmux

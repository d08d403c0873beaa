#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_gateway/replicas/ReachabilityProbe.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_tunnel/client/TunnelUse.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

// Bounds the connection attempts of a VM that has lost its links to a hundred replicas or more.
constexpr std::size_t maximumProbesPerInterval = 8;
// Enough to find a common cause of several failures at once.
constexpr std::size_t maximumFailureProbes = 64;
// A process that crashes closes its listening socket within milliseconds of its connections.
constexpr std::chrono::milliseconds crashCheckDelay{100};

} // namespace

void ReplicaFleet::recordUnreachable(const QByteArray &id)
{
    const ReplicaInstance *replica = this->instance(id);
    if (replica == nullptr) {
        this->reportToCorrelator(id);
        return;
    }
    // Calls that began before the replica was found unreachable may still report it.
    const auto [entry, isNew] = this->unreachable.try_emplace(id, false);
    if (isNew)
        this->idle.remove(id); // idle connections are as unresponsive as a new one
    if (entry->second)
        return;
    this->replicaPlacement.recordUnreachable(id, this->timers.now());
    if (isNew)
        LogEvent(LogSeverity::Warning, "replicaUnreachable")
                .field("replica", QString::fromUtf8(id))
                .field("address", replica->address.toString())
                .field("port", replica->port)
                .field("unreachable", static_cast<qint64>(this->unreachable.size()))
                .field("replicas", static_cast<qint64>(this->instances.size()));
    this->tryTunnel(id);
    if (isNew && this->mayHaveLostLinks(this->timers.now() - replicaConnectTimeout))
        this->probeOthers();
    else if (isNew && this->replicaPlacement.coldReplicas().mayBeCold(id))
        this->probeZone(replica->zone);
}

void ReplicaFleet::reportToCorrelator(const QByteArray &id)
{
    const ReplicaInstance *replica = this->instance(id);
    const bool wasLeaving =
            replica == nullptr || replica->draining || this->replicaPlacement.isLeaving(*replica);
    // One that is at its limit of connections, or has closed its listener, serves those that it
    // has.
    if (wasLeaving || this->replicaPlacement.hasOwnCalls(id))
        this->correlator.recordRefusing(id, this->timers.now());
    else
        this->correlator.recordUnreachable(id, this->timers.now());
}

bool ReplicaFleet::mayHaveLostLinks(TimerService::SteadyTime since) const
{
    return this->lastDirectContact < since && this->tunnels.isAvailable(this->timers.now());
}

void ReplicaFleet::tryTunnel(const QByteArray &id)
{
    const auto tunnel = this->takeTunnel();
    if (!tunnel) {
        this->reportToCorrelator(id);
        return;
    }
    this->probe(id, tunnel,
                [this, id](ConnectResult result) { this->handleTunnelProbe(id, result); });
}

void ReplicaFleet::handleTunnelProbe(const QByteArray &id, ConnectResult result)
{
    const auto entry = this->unreachable.find(id);
    if (entry == this->unreachable.end())
        return;
    if (result == ConnectResult::TunnelFailed) {
        this->tryTunnel(id); // with another VM, as this one is skipped for a while
        return;
    }
    if (result != ConnectResult::Connected)
        return; // recorded by finishProbe()
    if (!std::exchange(entry->second, true))
        LogEvent(LogSeverity::Info, "replicaTunnelled").field("replica", QString::fromUtf8(id));
    this->replicaPlacement.coldReplicas().recordContact(id, this->timers.now());
    this->replicaPlacement.recordReachablePath(id, true);
    // The replica runs, so it is this VM that has lost a link, and probably not only this one.
    this->probeOthers();
}

void ReplicaFleet::recordUnreachableThroughTunnel(const QByteArray &id)
{
    this->idle.remove(id);
    this->replicaPlacement.recordUnreachable(id, this->timers.now());
    this->reportToCorrelator(id);
    const auto entry = this->unreachable.find(id);
    if (entry != this->unreachable.end())
        entry->second = false;
}

void ReplicaFleet::probeUnreachable()
{
    std::vector<QByteArray> ids;
    auto next = this->unreachable.upper_bound(this->lastProbed);
    const std::size_t count = std::min(this->unreachable.size(), maximumProbesPerInterval);
    while (ids.size() < count) {
        if (next == this->unreachable.end())
            next = this->unreachable.begin();
        ids.push_back(next->first);
        ++next;
    }
    if (!ids.empty())
        this->lastProbed = ids.back();
    this->probeDirectly(ids);
}

void ReplicaFleet::probeOthers()
{
    const TimerService::SteadyTime now = this->timers.now();
    if (now - this->othersProbed < probeInterval)
        return;
    this->othersProbed = now;
    std::vector<QByteArray> ids;
    for (const ReplicaInstance &replica : std::as_const(this->instances)) {
        if (!this->unreachable.contains(replica.id))
            ids.push_back(replica.id);
    }
    this->probeDirectly(ids);
}

void ReplicaFleet::probeForFailures()
{
    const TimerService::SteadyTime now = this->timers.now();
    if (now - this->failuresProbed < probeInterval)
        return;
    this->failuresProbed = now;
    std::vector<QByteArray> ids;
    for (const ReplicaInstance &replica : std::as_const(this->instances)) {
        if (ids.size() < maximumFailureProbes && !this->unreachable.contains(replica.id)
            && !this->hasOpenConnection(replica.id))
            ids.push_back(replica.id);
    }
    this->probeDirectly(ids);
}

void ReplicaFleet::probeZone(const QByteArray &zone)
{
    const TimerService::SteadyTime now = this->timers.now();
    if (now - this->zoneProbed < probeInterval)
        return;
    this->zoneProbed = now;
    std::vector<QByteArray> ids;
    for (const ReplicaInstance &replica : std::as_const(this->instances)) {
        if (replica.zone == zone && !this->unreachable.contains(replica.id))
            ids.push_back(replica.id);
    }
    this->probeDirectly(ids);
}

void ReplicaFleet::probeDirectly(const std::vector<QByteArray> &ids)
{
    for (const QByteArray &id : ids)
        this->probe(id, nullptr, [](ConnectResult) {});
}

void ReplicaFleet::probe(const QByteArray &id, const std::shared_ptr<const TunnelUse> &tunnel,
                         std::function<void(ConnectResult)> callback)
{
    const ReplicaInstance *replica = this->instance(id);
    if (replica == nullptr) {
        this->timers.post([callback = std::move(callback)] { callback(ConnectResult::Silent); });
        return;
    }
    const ProbeKey key{id, tunnel ? tunnel->endpoint().vm : QString()};
    Probe &entry = this->probes[key];
    entry.waiting.push_back(std::move(callback));
    if (!entry.attempt)
        entry.attempt = std::make_unique<ReachabilityProbe>(
                this->routeTo(*replica, tunnel), this->timers,
                [this, key](ConnectResult result) { this->finishProbe(key, result); });
}

void ReplicaFleet::probeSilent(const QByteArray &id, const std::shared_ptr<const TunnelUse> &tunnel,
                               std::function<void(ConnectResult)> callback)
{
    const auto recent = this->endedProbes.find({id, tunnel ? tunnel->endpoint().vm : QString()});
    if (recent == this->endedProbes.end()
        || this->timers.now() - recent->second.time >= probeInterval) {
        this->probe(id, tunnel, std::move(callback));
        return;
    }
    this->timers.post(
            [callback = std::move(callback), result = recent->second.result] { callback(result); });
}

void ReplicaFleet::checkForCrash(const QByteArray &id,
                                 const std::shared_ptr<const TunnelUse> &tunnel)
{
    this->scheduleCrashCheck(id, tunnel).needsProbe = true;
}

void ReplicaFleet::checkSurvival(const QByteArray &id,
                                 const std::shared_ptr<const TunnelUse> &tunnel,
                                 std::function<void()> survived)
{
    this->scheduleCrashCheck(id, tunnel).survived.push_back(std::move(survived));
}

ReplicaFleet::CrashCheck &
ReplicaFleet::scheduleCrashCheck(const QByteArray &id,
                                 const std::shared_ptr<const TunnelUse> &tunnel)
{
    const ProbeKey key{id, tunnel ? tunnel->endpoint().vm : QString()};
    const auto [check, isNew] = this->crashChecks.try_emplace(key);
    if (isNew) // the calls of a crashed replica share one check
        check->second.timer = this->timers.after(
                crashCheckDelay, [this, key, tunnel] { this->runCrashCheck(key, tunnel); });
    return check->second;
}

void ReplicaFleet::runCrashCheck(const ProbeKey &key,
                                 const std::shared_ptr<const TunnelUse> &tunnel)
{
    const auto ended = this->crashChecks.extract(key);
    const QByteArray id = ended.key().first;
    const auto report = [this, id, checkedAt = this->timers.now(),
                         survived = ended.mapped().survived](ConnectResult result) {
        if (result != ConnectResult::Connected)
            return;
        this->correlator.recordReachable(id, checkedAt);
        for (const auto &callback : survived)
            callback();
    };
    if (!ended.mapped().needsProbe && this->hasOpenConnection(id))
        report(ConnectResult::Connected);
    else
        this->probe(id, tunnel, report);
}

bool ReplicaFleet::hasOpenConnection(const QByteArray &id) const
{
    const auto connections = this->idle.constFind(id);
    return connections != this->idle.cend()
           && std::any_of(connections->begin(), connections->end(), [](const auto &connection) {
                  return !connection->tunnel() && connection->isReusable()
                         && !connection->hasUnreadInput();
              });
}

void ReplicaFleet::finishProbe(const ProbeKey &key, ConnectResult result)
{
    auto entry = this->probes.extract(key);
    this->endedProbes[entry.key()] = {this->timers.now(), result};
    const auto &[id, tunnelVm] = entry.key();
    if (tunnelVm.isEmpty())
        this->handleDirectProbe(id, result);
    else if (result == ConnectResult::TunnelFailed)
        this->recordTunnelFailure(tunnelVm);
    else if (result != ConnectResult::Connected)
        this->recordUnreachableThroughTunnel(id);
    for (const auto &callback : entry.mapped().waiting)
        callback(result);
    // The attempt is still on the call stack, so it is destroyed later.
    this->timers.post([ended = std::shared_ptr(std::move(entry.mapped().attempt))] {});
}

void ReplicaFleet::handleDirectProbe(const QByteArray &id, ConnectResult result)
{
    if (result != ConnectResult::Connected) {
        this->recordUnreachable(id);
        return;
    }
    this->replicaPlacement.coldReplicas().recordContact(id, this->timers.now());
    if (this->unreachable.erase(id) == 0)
        return;
    this->correlator.recordReturned(id);
    this->idle.remove(id); // tunnels
    this->replicaPlacement.recordReachablePath(id, false);
    LogEvent(LogSeverity::Info, "replicaReachable")
            .field("replica", QString::fromUtf8(id))
            .field("unreachable", static_cast<qint64>(this->unreachable.size()));
}

} // namespace lacewingmux

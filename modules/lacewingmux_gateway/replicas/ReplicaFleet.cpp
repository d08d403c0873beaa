#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_gateway/replicas/ReachabilityProbe.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds cleanupInterval{1000};
// Half of the initial delay in which an unreachable replica gets no calls.
constexpr std::chrono::milliseconds probeInterval{500};

} // namespace

ReplicaFleet::ReplicaFleet(const QByteArray &zone, const PlacementSettings &placementSettings,
                           TimerService &timerService, CrashCorrelator::CrashHook crashHook)
    : timers(timerService)
    , replicaPlacement(zone, placementSettings)
    , correlator(std::move(crashHook))
{
    this->cleanupTimer =
            this->timers.every(cleanupInterval, [this] { this->closeStaleConnections(); });
    this->probeTimer = this->timers.every(probeInterval, [this] { this->probeUnreachable(); });
}

ReplicaFleet::~ReplicaFleet() = default;

void ReplicaFleet::setReplicas(const std::vector<ReplicaInstance> &newInstances)
{
    QHash<QByteArray, ReplicaInstance> next;
    for (const ReplicaInstance &instance : newInstances) {
        next.insert(instance.id, instance);
        const auto previous = this->instances.constFind(instance.id);
        const bool replaced =
                previous != this->instances.cend()
                && (previous->address != instance.address || previous->port != instance.port
                    || previous->startMilliseconds != instance.startMilliseconds);
        if (replaced || instance.draining)
            this->idle.remove(instance.id);
    }
    for (auto old = this->instances.cbegin(); old != this->instances.cend(); ++old) {
        if (!next.contains(old.key()))
            this->idle.remove(old.key());
    }
    std::erase_if(this->unreachable, [&next](const auto &id) { return !next.contains(id); });
    this->instances = std::move(next);
    this->replicaPlacement.setReplicas(newInstances);
}

void ReplicaFleet::recordUnreachable(const QByteArray &id)
{
    this->replicaPlacement.recordUnreachable(id, this->timers.now());
    this->idle.remove(id); // idle connections are as unresponsive as a new one
    this->correlator.recordUnreachable(id, this->timers.now());
    const ReplicaInstance *replica = this->instance(id);
    if (replica == nullptr || !this->unreachable.insert(id).second)
        return;
    LogEvent(LogSeverity::Warning, "replicaUnreachable")
            .field("replica", QString::fromUtf8(id))
            .field("address", replica->address.toString())
            .field("port", replica->port)
            .field("unreachable", static_cast<qint64>(this->unreachable.size()))
            .field("replicas", static_cast<qint64>(this->instances.size()));
}

void ReplicaFleet::recordLeaving(const QByteArray &id, std::int64_t startMilliseconds)
{
    if (!this->replicaPlacement.recordLeaving(id, startMilliseconds, this->timers.now()))
        return;
    LogEvent(LogSeverity::Info, "replicaLeaving")
            .field("replica", QString::fromUtf8(id))
            .field("started", static_cast<qint64>(startMilliseconds));
    const ReplicaInstance *replica = this->instance(id);
    if (replica != nullptr && replica->startMilliseconds == startMilliseconds)
        this->idle.remove(id);
}

void ReplicaFleet::recordLimit(const QByteArray &id, std::int64_t startMilliseconds,
                               std::optional<double> requestsPerSecond)
{
    if (!this->replicaPlacement.recordLimit(id, startMilliseconds, requestsPerSecond,
                                            this->timers.now()))
        return;
    LogEvent line(LogSeverity::Info, requestsPerSecond ? "replicaLimited" : "replicaNotLimited");
    line.field("replica", QString::fromUtf8(id));
    if (requestsPerSecond)
        line.field("requestsPerSecond", *requestsPerSecond);
}

void ReplicaFleet::probeUnreachable()
{
    const std::vector<QByteArray> all(this->unreachable.begin(), this->unreachable.end());
    for (const QByteArray &id : all)
        this->probe(id, [](bool) {});
}

const ReplicaInstance *ReplicaFleet::instance(const QByteArray &id) const
{
    const auto found = this->instances.constFind(id);
    return found == this->instances.cend() ? nullptr : &*found;
}

std::shared_ptr<ReplicaConnection> ReplicaFleet::acquire(const QByteArray &id)
{
    const ReplicaInstance *replica = this->instance(id);
    if (replica == nullptr)
        return nullptr;
    ConnectionList &connections = this->idle[id];
    while (!connections.empty()) {
        std::shared_ptr<ReplicaConnection> connection = std::move(connections.back());
        connections.pop_back();
        if (connection->isReusable())
            return connection;
    }
    return std::make_shared<ReplicaConnection>(replica->address, replica->port, this->timers);
}

void ReplicaFleet::probe(const QByteArray &id, std::function<void(bool)> callback)
{
    const ReplicaInstance *replica = this->instance(id);
    if (replica == nullptr) {
        this->timers.post([callback = std::move(callback)] { callback(false); });
        return;
    }
    Probe &entry = this->probes[id];
    entry.waiting.push_back(std::move(callback));
    if (!entry.attempt)
        entry.attempt = std::make_unique<ReachabilityProbe>(
                replica->address, replica->port, this->timers,
                [this, id](bool reachable) { this->finishProbe(id, reachable); });
}

void ReplicaFleet::finishProbe(const QByteArray &id, bool reachable)
{
    auto entry = this->probes.extract(id);
    if (!reachable) {
        this->recordUnreachable(id);
    } else if (this->unreachable.erase(id) > 0) {
        this->replicaPlacement.recordReachable(id);
        LogEvent(LogSeverity::Info, "replicaReachable")
                .field("replica", QString::fromUtf8(id))
                .field("unreachable", static_cast<qint64>(this->unreachable.size()));
    }
    for (const auto &callback : entry.mapped().waiting)
        callback(reachable);
    // The attempt is still on the call stack, so it is destroyed later.
    this->timers.post([ended = std::shared_ptr(std::move(entry.mapped().attempt))] {});
}

void ReplicaFleet::release(const QByteArray &id, std::int64_t startMilliseconds,
                           std::shared_ptr<ReplicaConnection> connection)
{
    const ReplicaInstance *replica = this->instance(id);
    if (replica == nullptr || replica->startMilliseconds != startMilliseconds || replica->draining
        || this->replicaPlacement.isLeaving(*replica) || !connection->isReusable())
        return;
    this->idle[id].push_back(std::move(connection));
}

void ReplicaFleet::closeStaleConnections()
{
    for (ConnectionList &connections : this->idle)
        connections.erase(
                std::remove_if(connections.begin(), connections.end(),
                               [](const auto &connection) { return !connection->isReusable(); }),
                connections.end());
}

} // namespace lacewingmux

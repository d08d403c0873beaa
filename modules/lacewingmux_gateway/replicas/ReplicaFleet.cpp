#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_gateway/replicas/ReachabilityProbe.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/SharedReading.h"
#include "lacewingmux_tunnel/client/TunnelUse.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds cleanupInterval{1000};
constexpr std::chrono::seconds invalidLoadLogInterval{1};
constexpr qsizetype maximumLoggedText = 100; // a valid report has less than 30 characters

} // namespace

ReplicaFleet::ReplicaFleet(const QByteArray &zone, const PlacementSettings &placementSettings,
                           TimerService &timerService, CrashCorrelator::CrashHook crashHook,
                           QByteArray tunnelSecret)
    : timers(timerService)
    , replicaPlacement(zone, placementSettings)
    , correlator(std::move(crashHook), [this] { this->probeForFailures(); })
    , tunnels(zone, placementSettings.vmSeed)
    , secret(std::move(tunnelSecret))
    , reading(std::make_shared<SharedReading>(this->timers))
{
    this->cleanupTimer =
            this->timers.every(cleanupInterval, [this] { this->closeStaleConnections(); });
    this->probeTimer = this->timers.every(probeInterval, [this] {
        this->probeUnreachable();
        this->correlator.decideCrashes(this->timers.now());
    });
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
        if (replaced) {
            this->unreachable.erase(instance.id);
            this->correlator.recordReturned(instance.id);
        }
    }
    for (auto old = this->instances.cbegin(); old != this->instances.cend(); ++old) {
        if (!next.contains(old.key()))
            this->idle.remove(old.key());
    }
    std::erase_if(this->unreachable,
                  [&next](const auto &entry) { return !next.contains(entry.first); });
    this->instances = std::move(next);
    this->replicaPlacement.setReplicas(newInstances);
    this->replicaPlacement.coldReplicas().setReplicas(newInstances, this->timers.now(),
                                                      this->timers.wallNow());
}

void ReplicaFleet::setEvacuatedZones(std::set<QByteArray> zones)
{
    this->replicaPlacement.setEvacuatedZones(std::move(zones), this->timers.now());
    for (const ReplicaInstance &replica : std::as_const(this->instances)) {
        if (this->isEvacuated(replica))
            this->idle.remove(replica.id);
    }
}

void ReplicaFleet::setTunnelEndpoints(const std::vector<TunnelEndpoint> &endpoints)
{
    this->tunnels.setEndpoints(endpoints);
}

void ReplicaFleet::recordTunnelStop(const QString &vm)
{
    LogEvent(LogSeverity::Info, "tunnelVmStops").field("vm", vm);
    this->tunnels.recordUnavailable(vm, this->timers.now());
    this->closeStaleConnections();
}

std::shared_ptr<const TunnelUse> ReplicaFleet::takeTunnel()
{
    return this->tunnels.take(this->timers.now());
}

void ReplicaFleet::recordTunnelFailure(const QString &vm)
{
    LogEvent(LogSeverity::Warning, "tunnelFailed").field("vm", vm);
    this->tunnels.recordUnavailable(vm, this->timers.now());
    this->closeStaleConnections();
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

void ReplicaFleet::recordInvalidLoad(const QByteArray &id, const QByteArray &text)
{
    const TimerService::SteadyTime now = this->timers.now();
    if (this->invalidLoadLogged && now - *this->invalidLoadLogged < invalidLoadLogInterval)
        return;
    this->invalidLoadLogged = now;
    LogEvent(LogSeverity::Warning, "loadReportInvalid")
            .field("replica", QString::fromUtf8(id))
            .field("text", QString::fromUtf8(text.left(maximumLoggedText)));
}

const ReplicaInstance *ReplicaFleet::instance(const QByteArray &id) const
{
    const auto found = this->instances.constFind(id);
    return found == this->instances.cend() ? nullptr : &*found;
}

std::shared_ptr<ReplicaConnection> ReplicaFleet::acquire(const QByteArray &id,
                                                         const QByteArray &requestId)
{
    const ReplicaInstance *replica = this->instance(id);
    if (replica == nullptr)
        return nullptr;
    if (auto connection = this->takeIdle(id, requestId))
        return connection;
    std::shared_ptr<const TunnelUse> tunnel;
    if (this->unreachable.contains(id))
        tunnel = this->takeTunnel();
    return std::make_shared<ReplicaConnection>(this->routeTo(*replica, std::move(tunnel)),
                                               this->timers, this->reading);
}

std::shared_ptr<ReplicaConnection> ReplicaFleet::takeIdle(const QByteArray &id,
                                                          const QByteArray &requestId)
{
    ConnectionList &connections = this->idle[id];
    std::erase_if(connections,
                  [this](const auto &connection) { return !this->isReusable(*connection); });
    while (true) {
        const auto found = std::find_if(connections.rbegin(), connections.rend(),
                                        [&requestId](const auto &connection) {
                                            return connection->distinguishes(requestId);
                                        });
        if (found == connections.rend())
            return nullptr;
        std::shared_ptr<ReplicaConnection> connection = std::move(*found);
        connections.erase(std::next(found).base());
        if (!connection->hasUnreadInput())
            return connection;
    }
}

bool ReplicaFleet::isReusable(const ReplicaConnection &connection) const
{
    const auto &tunnel = connection.tunnel();
    return connection.isReusable() && (!tunnel || this->tunnels.isReusable(*tunnel));
}

StreamRoute ReplicaFleet::routeTo(const ReplicaInstance &replica,
                                  std::shared_ptr<const TunnelUse> tunnel) const
{
    return {replica.address, replica.port, std::move(tunnel), this->secret};
}

void ReplicaFleet::release(const QByteArray &id, std::int64_t startMilliseconds,
                           std::shared_ptr<ReplicaConnection> connection)
{
    const ReplicaInstance *replica = this->instance(id);
    if (replica == nullptr || replica->startMilliseconds != startMilliseconds || replica->draining
        || this->replicaPlacement.isLeaving(*replica) || this->isEvacuated(*replica)
        || !this->isReusable(*connection))
        return;
    this->idle[id].push_back(std::move(connection));
}

void ReplicaFleet::closeStaleConnections()
{
    for (ConnectionList &connections : this->idle)
        connections.erase(std::remove_if(connections.begin(), connections.end(),
                                         [this](const auto &connection) {
                                             return !this->isReusable(*connection);
                                         }),
                          connections.end());
    std::erase_if(this->endedProbes, [now = this->timers.now()](const auto &ended) {
        return now - ended.second.time >= probeInterval;
    });
}

} // namespace lacewingmux

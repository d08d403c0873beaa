#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include "lacewingmux_gateway/replicas/ReachabilityProbe.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds sweepInterval{1000};
// Half of the pause in which a replica that can't be reached gets no calls.
constexpr std::chrono::milliseconds retryInterval{500};

} // namespace

ReplicaFleet::ReplicaFleet(const QByteArray &zone, TimerService &timerService,
                           CrashSuspicions::CrashHook crashHook)
    : timers(timerService)
    , decisions(zone, {})
    , crashes(std::move(crashHook))
{
    this->sweep = this->timers.every(sweepInterval, [this] { this->dropStale(); });
    this->retry = this->timers.every(retryInterval, [this] { this->tryUnreachable(); });
}

ReplicaFleet::~ReplicaFleet() = default;

void ReplicaFleet::setReplicas(const std::vector<ReplicaInstance> &newInstances)
{
    QHash<QByteArray, ReplicaInstance> next;
    for (const ReplicaInstance &instance : newInstances) {
        next.insert(instance.id, instance);
        const auto known = this->instances.constFind(instance.id);
        const bool moved = known != this->instances.cend()
                           && (known->address != instance.address || known->port != instance.port
                               || known->startMilliseconds != instance.startMilliseconds);
        if (moved || instance.draining)
            this->idle.remove(instance.id);
    }
    for (auto old = this->instances.cbegin(); old != this->instances.cend(); ++old) {
        if (!next.contains(old.key()))
            this->idle.remove(old.key());
    }
    std::erase_if(this->unreachable, [&next](const auto &id) { return !next.contains(id); });
    this->instances = std::move(next);
    this->decisions.setReplicas(newInstances);
}

void ReplicaFleet::noteUnreachable(const QByteArray &id)
{
    this->decisions.noteUnreachable(id, this->timers.now());
    this->idle.remove(id); // as silent as a new connection
    this->crashes.noteUnreachable(id, this->timers.now());
    if (this->instances.contains(id))
        this->unreachable.insert(id);
}

void ReplicaFleet::tryUnreachable()
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
    Idle &kept = this->idle[id];
    while (!kept.empty()) {
        std::shared_ptr<ReplicaConnection> connection = std::move(kept.back());
        kept.pop_back();
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
        this->noteUnreachable(id);
    } else if (this->unreachable.erase(id) > 0) {
        this->decisions.noteReached(id);
    }
    for (const auto &callback : entry.mapped().waiting)
        callback(reachable);
    // The attempt is still on the stack.
    this->timers.post([ended = std::shared_ptr(std::move(entry.mapped().attempt))] {});
}

void ReplicaFleet::release(const QByteArray &id, std::shared_ptr<ReplicaConnection> connection)
{
    const ReplicaInstance *replica = this->instance(id);
    if (replica == nullptr || replica->draining || !connection->isReusable())
        return;
    this->idle[id].push_back(std::move(connection));
}

void ReplicaFleet::dropStale()
{
    for (Idle &kept : this->idle)
        kept.erase(std::remove_if(kept.begin(), kept.end(),
                                  [](const auto &connection) { return !connection->isReusable(); }),
                   kept.end());
}

} // namespace lacewingmux

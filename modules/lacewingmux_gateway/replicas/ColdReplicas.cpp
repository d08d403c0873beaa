#include "lacewingmux_gateway/replicas/ColdReplicas.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// A replica that was unreachable for a second may be cold. A failed attempt to connect has taken up
// to 400 ms of it.
constexpr milliseconds outageLimit{600};
// Bounds statements and start times that cannot be right, so that sums of times do not overflow.
constexpr milliseconds maximumStatement{std::chrono::hours(1)};
constexpr milliseconds maximumAge{std::chrono::hours(24)};
// Far longer than an entry is missing during an outage; bounds the memory for replicas that are
// gone.
constexpr std::chrono::minutes retention{30};

/** Returns when the replica started, at most maximumAge ago. Clocks of VMs differ, so the start may
    seem to be in the future. */
TimerService::SteadyTime startTime(const ReplicaInstance &instance, TimerService::SteadyTime now,
                                   TimerService::WallTime wallNow)
{
    const std::int64_t unixNow =
            std::chrono::floor<milliseconds>(wallNow.time_since_epoch()).count();
    const std::int64_t earliest = unixNow - maximumAge.count();
    return now - milliseconds(unixNow - std::clamp(instance.startMilliseconds, earliest, unixNow));
}

} // namespace

void ColdReplicas::setServices(const QHash<QByteArray, GatewayService> &newServices)
{
    this->services = newServices;
}

void ColdReplicas::setReplicas(const std::vector<ReplicaInstance> &instances, SteadyTime now,
                               WallTime wallNow)
{
    std::set<QByteArray> registered;
    for (const ReplicaInstance &instance : instances) {
        registered.insert(instance.id);
        const auto known = this->replicas.find(instance.id);
        const bool isNewStart = known == this->replicas.end()
                                || known->startMilliseconds != instance.startMilliseconds;
        Replica replica;
        if (isNewStart)
            replica.assumption = Assumption{startTime(instance, now, wallNow), Reason::Started};
        else
            replica = *known;
        replica.wasCold = known != this->replicas.end() && known->wasCold;
        updateEntry(replica, instance, !isNewStart && replica.unregisteredSince.has_value(), now);
        this->replicas.insert(instance.id, replica);
    }
    for (auto replica = this->replicas.begin(); replica != this->replicas.end(); ++replica) {
        if (!registered.contains(replica.key()) && !replica->unregisteredSince)
            replica->unregisteredSince = now;
    }
    this->replicas.removeIf([now](const auto &replica) {
        return replica->unregisteredSince && now - *replica->unregisteredSince > retention;
    });
}

void ColdReplicas::updateEntry(Replica &replica, const ReplicaInstance &instance, bool isReturning,
                               SteadyTime now)
{
    replica.startMilliseconds = instance.startMilliseconds;
    replica.service = instance.service;
    replica.zone = instance.zone;
    replica.unregisteredSince.reset();
    // The platform's store had lost contact with the replica, as this VM may have without a call.
    if (isReturning)
        replica.assumption = Assumption{now, Reason::Unreachable};
    const auto previous = std::exchange(
            replica.entryStatement,
            instance.statesWarmUp ? std::optional(instance.warmUpRemaining) : std::nullopt);
    if (!isReturning && previous == replica.entryStatement)
        return;
    // An entry that no longer states a time has a replica that is no longer cold, unless the entry
    // was missing: then only a stated time ends the assumption.
    if (replica.entryStatement || (previous && !isReturning))
        applyStatement(replica, replica.entryStatement.value_or(milliseconds(0)), now);
}

void ColdReplicas::applyStatement(Replica &replica, milliseconds remaining, SteadyTime now)
{
    replica.statedUntil = now + std::clamp(remaining, milliseconds(0), maximumStatement);
    replica.assumption.reset();
}

void ColdReplicas::recordStatement(const QByteArray &id, std::int64_t startMilliseconds,
                                   milliseconds remaining, SteadyTime now)
{
    const auto known = this->replicas.find(id);
    if (known != this->replicas.end() && known->startMilliseconds == startMilliseconds)
        applyStatement(*known, remaining, now);
}

void ColdReplicas::recordUnreachable(const QByteArray &id, SteadyTime now)
{
    const auto known = this->replicas.find(id);
    if (known != this->replicas.end() && !known->unreachableSince)
        known->unreachableSince = now;
}

void ColdReplicas::recordContact(const QByteArray &id, SteadyTime now)
{
    const auto known = this->replicas.find(id);
    if (known == this->replicas.end() || !known->unreachableSince)
        return;
    if (now - *known->unreachableSince > outageLimit)
        known->assumption = Assumption{now, Reason::Unreachable};
    known->unreachableSince.reset();
}

void ColdReplicas::setEvacuatedZones(std::set<QByteArray> zones, SteadyTime now)
{
    const std::set<QByteArray> before = std::exchange(this->evacuatedZones, std::move(zones));
    for (Replica &replica : this->replicas) {
        if (before.contains(replica.zone) && !this->evacuatedZones.contains(replica.zone))
            replica.assumption = Assumption{now, Reason::ZoneReturned};
    }
}

bool ColdReplicas::mayBeCold(const QByteArray &id) const
{
    const auto known = this->replicas.constFind(id);
    return known != this->replicas.cend() && this->limitedService(*known) != nullptr;
}

std::optional<double> ColdReplicas::limit(const QByteArray &id, SteadyTime now) const
{
    const auto known = this->replicas.constFind(id);
    if (known == this->replicas.cend() || !this->reason(*known, now))
        return std::nullopt;
    return this->limitedService(*known)->coldRequestsPerSecond;
}

int ColdReplicas::count(SteadyTime now) const
{
    return static_cast<int>(std::count_if(
            this->replicas.cbegin(), this->replicas.cend(),
            [this, now](const Replica &replica) { return this->reason(replica, now); }));
}

std::vector<ColdReplicas::Change> ColdReplicas::takeChanges(SteadyTime now)
{
    std::vector<Change> changes;
    for (auto replica = this->replicas.begin(); replica != this->replicas.end(); ++replica) {
        const std::optional<Reason> reasonNow = this->reason(*replica, now);
        if (std::exchange(replica->wasCold, reasonNow.has_value()) != reasonNow.has_value())
            changes.push_back({replica.key(), reasonNow});
    }
    return changes;
}

const GatewayService *ColdReplicas::limitedService(const Replica &replica) const
{
    const auto service = this->services.constFind(replica.service);
    const bool hasLimit = service != this->services.cend() && service->coldRequestsPerSecond > 0;
    return hasLimit ? &*service : nullptr;
}

std::optional<ColdReplicas::Reason> ColdReplicas::reason(const Replica &replica,
                                                         SteadyTime now) const
{
    const GatewayService *service = this->limitedService(replica);
    if (service == nullptr || replica.unregisteredSince)
        return std::nullopt;
    if (now < replica.statedUntil)
        return Reason::Stated;
    if (replica.unreachableSince && now - *replica.unreachableSince > outageLimit)
        return Reason::Unreachable;
    if (replica.assumption && now - replica.assumption->since < service->coldStartTime)
        return replica.assumption->reason;
    return std::nullopt;
}

} // namespace lacewingmux

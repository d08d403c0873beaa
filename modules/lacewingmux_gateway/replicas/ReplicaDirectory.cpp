#include "lacewingmux_gateway/replicas/ReplicaDirectory.h"

#include "lacewingmux_core/logging/StructuredLog.h"

#include <utility>

namespace lacewingmux {

namespace {

// Replicas register again within two seconds of the store's return; a fifth more for the way.
constexpr std::chrono::milliseconds registrationTime{2400};

} // namespace

ReplicaDirectory::ReplicaDirectory(TimerService &timerService, ChangeHook changeHook)
    : timers(timerService)
    , changed(std::move(changeHook))
{ }

void ReplicaDirectory::update(const QByteArray &id, const std::optional<ReplicaInstance> &instance)
{
    if (!instance) {
        this->remove(id);
        return;
    }
    this->missing.erase(id);
    const auto found = this->known.find(id);
    // An entry is written again with each heartbeat.
    if (found != this->known.end() && found->second == *instance)
        return;
    if (found == this->known.end() || found->second.draining != instance->draining)
        LogEvent(LogSeverity::Info, "replicaChanged")
                .field("replica", QString::fromUtf8(id))
                .field("service", QString::fromUtf8(instance->service))
                .field("draining", instance->draining);
    this->known.insert_or_assign(id, *instance);
    this->publishSoon();
}

void ReplicaDirectory::remove(const QByteArray &id)
{
    if (!this->known.contains(id))
        return;
    this->missing.insert(id);
    if (this->isSettled())
        this->dropMissing();
}

void ReplicaDirectory::setStoreReachable(bool reachable)
{
    if (reachable && !this->storeReachable) {
        this->storeReturned = this->timers.now();
        this->everLost = true;
        this->dropTimer = this->timers.after(registrationTime, [this] { this->dropMissing(); });
    }
    this->storeReachable = reachable;
}

std::vector<ReplicaInstance> ReplicaDirectory::instances() const
{
    std::vector<ReplicaInstance> all;
    all.reserve(this->known.size());
    for (const auto &[id, instance] : this->known)
        all.push_back(instance);
    return all;
}

void ReplicaDirectory::publishSoon()
{
    if (std::exchange(this->publishPosted, true))
        return;
    this->timers.post([this] {
        this->publishPosted = false;
        this->changed(this->instances());
    });
}

void ReplicaDirectory::dropMissing()
{
    if (this->missing.empty() || !this->storeReachable)
        return;
    for (const QByteArray &id : this->missing) {
        LogEvent(LogSeverity::Info, "replicaGone").field("replica", QString::fromUtf8(id));
        this->known.erase(id);
    }
    this->missing.clear();
    this->publishSoon();
}

bool ReplicaDirectory::isSettled() const
{
    return this->storeReachable
           && (!this->everLost || this->timers.now() - this->storeReturned >= registrationTime);
}

} // namespace lacewingmux

#include "lacewingmux_gateway/replicas/ReplicaDirectory.h"

#include "lacewingmux_core/logging/StructuredLog.h"

#include <utility>

namespace lacewingmux {

namespace {

// Replicas register again within two seconds of the store's recovery; 20% more for latency.
constexpr std::chrono::milliseconds reregistrationTime{2400};

} // namespace

ReplicaDirectory::ReplicaDirectory(TimerService &timerService, ChangeHook changeHook)
    : timers(timerService)
    , changed(std::move(changeHook))
    , settledAt(timers.now())
{ }

void ReplicaDirectory::update(const QByteArray &id, const std::optional<ReplicaInstance> &instance)
{
    if (!instance) {
        this->remove(id);
        return;
    }
    this->missing.erase(id);
    const auto found = this->known.find(id);
    // Each heartbeat rewrites the entry.
    if (found != this->known.end() && found->second == *instance)
        return;
    if (found == this->known.end() || found->second.draining != instance->draining)
        LogEvent(LogSeverity::Info, "replicaChanged")
                .field("replica", QString::fromUtf8(id))
                .field("service", QString::fromUtf8(instance->service))
                .field("draining", instance->draining);
    this->known.insert_or_assign(id, *instance);
    this->schedulePublish();
}

void ReplicaDirectory::remove(const QByteArray &id)
{
    if (!this->known.contains(id))
        return;
    const bool isNew = this->missing.try_emplace(id, this->timers.now()).second;
    if (this->isStoreSettled())
        this->removeMissing();
    else if (isNew)
        LogEvent(LogSeverity::Info, "replicaMissing")
                .field("replica", QString::fromUtf8(id))
                .field("storeReachable", this->settledAt.has_value());
}

void ReplicaDirectory::setStoreUnreachable()
{
    this->settledAt.reset();
    this->removalTimer.cancel();
}

void ReplicaDirectory::setStoreReachable(TimerService::SteadyTime since)
{
    const TimerService::SteadyTime settled = since + reregistrationTime;
    if (this->settledAt && *this->settledAt <= settled)
        return;
    this->settledAt = settled;
    if (this->isStoreSettled()) {
        this->removalTimer.cancel();
        this->removeMissing();
        return;
    }
    const auto remaining =
            std::chrono::ceil<std::chrono::milliseconds>(settled - this->timers.now());
    this->removalTimer = this->timers.after(remaining, [this] { this->removeMissing(); });
}

std::vector<ReplicaInstance> ReplicaDirectory::instances() const
{
    std::vector<ReplicaInstance> all;
    all.reserve(this->known.size());
    for (const auto &[id, instance] : this->known)
        all.push_back(instance);
    return all;
}

void ReplicaDirectory::schedulePublish()
{
    if (std::exchange(this->publishPosted, true))
        return;
    this->timers.post([this] {
        this->publishPosted = false;
        this->changed(this->instances());
    });
}

void ReplicaDirectory::removeMissing()
{
    if (this->missing.empty())
        return;
    for (const auto &[id, since] : this->missing) {
        LogEvent(LogSeverity::Info, "replicaGone")
                .field("replica", QString::fromUtf8(id))
                .field("missingFor", static_cast<qint64>(this->timeSince(since).count()));
        this->known.erase(id);
    }
    this->missing.clear();
    this->schedulePublish();
}

std::chrono::milliseconds ReplicaDirectory::timeSince(TimerService::SteadyTime time) const
{
    return std::chrono::floor<std::chrono::milliseconds>(this->timers.now() - time);
}

bool ReplicaDirectory::isStoreSettled() const
{
    return this->settledAt && this->timers.now() >= *this->settledAt;
}

} // namespace lacewingmux

#include "lacewingmux_gateway/replicas/ReplicaLimits.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

// Far longer than a limited replica gets no request; bounds the memory for replicas that are gone.
constexpr std::chrono::minutes retention{30};

} // namespace

bool ReplicaLimits::record(const QByteArray &id, std::int64_t startMilliseconds,
                           std::optional<double> requestsPerSecond, SteadyTime now)
{
    if (!requestsPerSecond) {
        if (!this->limit(id, startMilliseconds))
            return false;
        this->limits.erase({id, startMilliseconds});
        return true;
    }
    Limit &known = this->entryOf(id, startMilliseconds, now);
    return std::exchange(known.requestsPerSecond, requestsPerSecond) != requestsPerSecond;
}

std::optional<double> ReplicaLimits::limit(const QByteArray &id,
                                           std::int64_t startMilliseconds) const
{
    if (this->limits.empty())
        return std::nullopt;
    const auto found = this->limits.find({id, startMilliseconds});
    return found == this->limits.end() ? std::nullopt : found->second.requestsPerSecond;
}

void ReplicaLimits::recordReached(const QByteArray &id, std::int64_t startMilliseconds,
                                  SteadyTime now, SteadyTime until)
{
    SteadyTime &known = this->entryOf(id, startMilliseconds, now).reachedUntil;
    known = now < known ? std::min(known, until) : until;
}

bool ReplicaLimits::isReached(const QByteArray &id, std::int64_t startMilliseconds,
                              SteadyTime now) const
{
    if (this->limits.empty())
        return false;
    const auto found = this->limits.find({id, startMilliseconds});
    return found != this->limits.end() && now < found->second.reachedUntil;
}

ReplicaLimits::Limit &ReplicaLimits::entryOf(const QByteArray &id, std::int64_t startMilliseconds,
                                             SteadyTime now)
{
    const auto [entry, isNew] = this->limits.try_emplace({id, startMilliseconds});
    entry->second.lastUsed = now;
    if (isNew)
        std::erase_if(this->limits,
                      [now](const auto &other) { return now - other.second.lastUsed > retention; });
    return entry->second;
}

} // namespace lacewingmux

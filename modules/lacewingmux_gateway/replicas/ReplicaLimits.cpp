#include "lacewingmux_gateway/replicas/ReplicaLimits.h"

#include <algorithm>

namespace lacewingmux {

namespace {

// Far longer than a limited replica gets no request; bounds the memory for replicas that are gone.
constexpr std::chrono::minutes retention{30};

} // namespace

bool ReplicaLimits::record(const QByteArray &id, std::int64_t startMilliseconds,
                           std::optional<double> requestsPerSecond, SteadyTime now)
{
    if (!requestsPerSecond)
        return !this->limits.empty() && this->limits.erase({id, startMilliseconds}) > 0;
    const auto [entry, isNew] = this->limits.try_emplace({id, startMilliseconds});
    Limit &known = entry->second;
    const bool changed = isNew || known.requestsPerSecond != *requestsPerSecond;
    known.requestsPerSecond = *requestsPerSecond;
    known.lastNamed = now;
    if (isNew)
        std::erase_if(this->limits, [now](const auto &other) {
            return now - other.second.lastNamed > retention;
        });
    return changed;
}

std::optional<double> ReplicaLimits::limit(const QByteArray &id,
                                           std::int64_t startMilliseconds) const
{
    if (this->limits.empty())
        return std::nullopt;
    const auto found = this->limits.find({id, startMilliseconds});
    return found == this->limits.end() ? std::nullopt
                                       : std::optional(found->second.requestsPerSecond);
}

void ReplicaLimits::recordReached(const QByteArray &id, std::int64_t startMilliseconds,
                                  SteadyTime now, SteadyTime until)
{
    const auto found = this->limits.find({id, startMilliseconds});
    if (found == this->limits.end())
        return;
    SteadyTime &known = found->second.reachedUntil;
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

} // namespace lacewingmux

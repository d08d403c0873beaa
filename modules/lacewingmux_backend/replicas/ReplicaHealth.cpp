#include "lacewingmux_backend/replicas/ReplicaHealth.h"

#include <algorithm>

namespace lacewingmux {

void ReplicaHealth::unreachable()
{
    this->broken = true;
}

void ReplicaHealth::timedOut()
{
    ++this->consecutiveTimeouts;
    if (this->consecutiveTimeouts >= timeoutsUntilBroken)
        this->broken = true;
}

void ReplicaHealth::answered()
{
    this->consecutiveTimeouts = 0;
    if (!this->broken)
        this->backoff = firstProbeDelay;
}

void ReplicaHealth::probeFailed()
{
    ++this->failedProbes;
    this->backoff = std::min(this->backoff * 2, maxProbeDelay);
}

void ReplicaHealth::probeSucceeded()
{
    this->broken = false;
    this->failedProbes = 0;
    this->consecutiveTimeouts = 0;
}

std::chrono::milliseconds ReplicaHealth::probeDelay(double randomFraction) const
{
    const double factor = 0.5 + randomFraction / 2;
    return std::chrono::milliseconds(static_cast<std::chrono::milliseconds::rep>(
            factor * static_cast<double>(this->backoff.count())));
}

} // namespace lacewingmux

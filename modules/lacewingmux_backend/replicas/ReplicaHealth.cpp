#include "lacewingmux_backend/replicas/ReplicaHealth.h"

#include <algorithm>

namespace lacewingmux {

void ReplicaHealth::failed()
{
    this->broken = true;
}

void ReplicaHealth::timedOut()
{
    ++this->timeoutsInARow;
    if (this->timeoutsInARow >= timeoutsToBreak)
        this->broken = true;
}

void ReplicaHealth::answered()
{
    this->timeoutsInARow = 0;
    if (!this->broken)
        this->backoff = firstProbeDelay;
}

void ReplicaHealth::probeFailed()
{
    ++this->failedProbes;
    this->backoff = std::min(this->backoff * 2, longestProbeDelay);
}

void ReplicaHealth::probeSucceeded()
{
    this->broken = false;
    this->failedProbes = 0;
    this->timeoutsInARow = 0;
}

std::chrono::milliseconds ReplicaHealth::probeDelay(double draw) const
{
    const double part = 0.5 + draw / 2;
    return std::chrono::milliseconds(static_cast<std::chrono::milliseconds::rep>(
            part * static_cast<double>(this->backoff.count())));
}

} // namespace lacewingmux

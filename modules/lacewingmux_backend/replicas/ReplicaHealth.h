#pragma once

#include <chrono>

namespace lacewingmux {

/**
    A circuit breaker for one replica: when it may receive work, and when to probe a broken one.

    A refused connection or a crash breaks it at once, timeouts only after several in a row. A
    broken replica is probed with exponential backoff and serves again after the first probe that
    succeeds. Pure.
*/
class ReplicaHealth
{
public:
    static constexpr int timeoutsUntilBroken = 3;
    static constexpr int failedProbesUntilDown = 5; ///< some 3 s with the delays below
    static constexpr std::chrono::milliseconds firstProbeDelay{100};
    static constexpr std::chrono::milliseconds maxProbeDelay{5000};

    [[nodiscard]] bool isBroken() const noexcept
    {
        return this->broken;
    }

    /** Tells whether it has been broken for so long that no call should wait for it. */
    [[nodiscard]] bool isConsideredDown() const noexcept
    {
        return this->broken && this->failedProbes >= failedProbesUntilDown;
    }

    /** Notes that the replica could not be reached or died. */
    void failed();

    /** Notes that a call timed out there. */
    void timedOut();

    /** Notes that a call was answered. */
    void answered();

    /** Notes that a probe failed. */
    void probeFailed();

    /** Notes that a probe succeeded; the replica serves again. */
    void probeSucceeded();

    /** Returns how long to wait before the next probe, for a draw from 0 to 1: between half and
        all of the backoff, so that the VMs' probes spread. */
    [[nodiscard]] std::chrono::milliseconds probeDelay(double randomFraction) const;

private:
    bool broken = false;
    int consecutiveTimeouts = 0;
    int failedProbes = 0; ///< since it broke
    std::chrono::milliseconds backoff = firstProbeDelay;
};

} // namespace lacewingmux

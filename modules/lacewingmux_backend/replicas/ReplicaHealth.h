#pragma once

#include <chrono>

namespace lacewingmux {

/**
    A circuit breaker for one replica. Decides when the replica may receive work and when to probe
    it while the circuit is open.

    A refused connection or a crash marks the replica as broken at once, timeouts only after several
    in a row. A broken replica is probed with exponential backoff and serves again after the first
    probe that succeeds. Performs no I/O and reads no clock.
*/
class ReplicaHealth
{
public:
    static constexpr int timeoutsUntilBroken = 3;
    static constexpr int failedProbesUntilDown = 5; ///< about 3 s with the delays below
    static constexpr std::chrono::milliseconds firstProbeDelay{100};
    static constexpr std::chrono::milliseconds maxProbeDelay{5000};

    [[nodiscard]] bool isBroken() const noexcept
    {
        return this->broken;
    }

    /** Returns whether the replica has been broken for so long that calls should no longer wait
        for it. */
    [[nodiscard]] bool isConsideredDown() const noexcept
    {
        return this->broken && this->failedProbes >= failedProbesUntilDown;
    }

    /** Records that the replica could not be reached or has crashed. */
    void unreachable();

    /** Records that a call to the replica timed out. */
    void timedOut();

    /** Records that the replica answered a call. */
    void answered();

    /** Records a failed probe. */
    void probeFailed();

    /** Records a successful probe; the replica serves again. */
    void probeSucceeded();

    /** Returns the delay before the next probe for a random fraction from 0 to 1: between half the
        backoff and all of it, so that the probes of different VMs do not coincide. */
    [[nodiscard]] std::chrono::milliseconds probeDelay(double randomFraction) const;

private:
    bool broken = false;
    int consecutiveTimeouts = 0;
    int failedProbes = 0; ///< since the replica was marked as broken
    std::chrono::milliseconds backoff = firstProbeDelay;
};

} // namespace lacewingmux

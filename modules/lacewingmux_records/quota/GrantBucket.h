#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <optional>

namespace lacewingmux {

/**
    A records VM's part of one team's rate and burst: a token bucket with a floor. Tokens below the
    floor are not given away, and the floor is on disk, so that after a crash the bucket holds what
    certainly was not spent: the team's burst is not lost with the process. Time is passed in.
*/
class GrantBucket
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Makes a bucket that holds what the disk says to be unspent. */
    GrantBucket(double unspentTokens, SteadyTime now);

    /** Sets the part, in requests a second and requests. What is held beyond the burst is lost. */
    void setShare(double requestsPerSecond, double burst, SteadyTime now);

    /** Takes up to the wanted number of whole tokens, but leaves the given part of the burst;
        returns how many. */
    [[nodiscard]] int take(int wanted, double reserve, SteadyTime now);

    /** Returns how long it takes until one may be taken that leaves the part of the burst. */
    [[nodiscard]] std::chrono::milliseconds untilNext(double reserve, SteadyTime now) const;

    /** Returns a lower floor to write to disk, when the present one is about to bind. */
    [[nodiscard]] std::optional<double> lowerFloor(SteadyTime now);

    /** Returns a higher floor to write to disk, in force at once, when much lies above it. */
    [[nodiscard]] std::optional<double> raiseFloor(SteadyTime now);

    /** Puts a lower floor into force, once it is on disk. */
    void setFloor(double tokensKept);

private:
    void refill(SteadyTime now);

    double rate = 0;
    double capacity = 0;
    double tokens;
    double floor;
    bool lowering = false; ///< a lower floor is on its way to the disk
    SteadyTime updated;
};

} // namespace lacewingmux

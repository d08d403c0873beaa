#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>

namespace lacewingmux {

/**
    A records VM's part of one team's rate and burst: a token bucket that starts empty, because an
    earlier run of the VM may have given everything away. Time is passed in.
*/
class GrantBucket
{
public:
    using SteadyTime = TimerService::SteadyTime;

    explicit GrantBucket(SteadyTime now);

    /** Sets the part, in requests a second and requests. What is held beyond the burst is lost. */
    void setShare(double requestsPerSecond, double burst, SteadyTime now);

    /** Takes up to the wanted number of whole tokens, but leaves the given part of the burst;
        returns how many. */
    [[nodiscard]] int take(int wanted, double reserve, SteadyTime now);

    /** Returns how long it takes until one may be taken that leaves the part of the burst. */
    [[nodiscard]] std::chrono::milliseconds untilNext(double reserve, SteadyTime now) const;

private:
    void refill(SteadyTime now);

    double rate = 0;
    double capacity = 0;
    double tokens = 0;
    SteadyTime updated;
};

} // namespace lacewingmux

#pragma once

#include <chrono>

namespace lacewingmux {

/** A rate of events over the recent past, in events a second, with exponential decay. */
class DecayingRate
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Makes a rate that forgets with the given time constant. */
    explicit DecayingRate(std::chrono::milliseconds decayTime);

    /** Adds events at the moment. */
    void add(double events, Time now);

    /** Returns the rate at the moment. */
    [[nodiscard]] double perSecond(Time now) const;

private:
    double decaySeconds;
    double rate = 0;
    Time updatedAt;
};

} // namespace lacewingmux

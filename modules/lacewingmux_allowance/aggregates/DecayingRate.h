#pragma once

#include <chrono>

namespace lacewingmux {

/** An exponentially decaying average of an event rate, in events per second. */
class DecayingRate
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Creates a rate of zero that decays with the given time constant. */
    explicit DecayingRate(std::chrono::milliseconds decayTime);

    /** Adds events at the given time. */
    void add(double events, Time now);

    /** Returns the rate at the given time. */
    [[nodiscard]] double perSecond(Time now) const;

private:
    double decaySeconds;
    double rate = 0;
    Time updatedAt;
};

} // namespace lacewingmux

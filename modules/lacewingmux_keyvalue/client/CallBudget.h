#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <cstdint>

namespace lacewingmux {

/** How much a call to the store matters when the budget runs short. */
enum class CallPriority : std::uint8_t {
    Ordinary, ///< reads and watches, which can wait
    Urgent    ///< writes and lease renewals, which may take the reserve
};

/**
    The calls that one daemon may make to the platform's store: a token bucket whose last part is
    kept for urgent calls. The time is passed in.
*/
class CallBudget
{
public:
    /** The part of the burst that only urgent calls may use. */
    static constexpr double urgentReserve = 0.25;

    /** Makes a full bucket. The rate is in calls per second, the burst in calls, at least 1. */
    CallBudget(double callsPerSecond, double burstCalls, TimerService::SteadyTime now);

    /** Takes one call out of the budget; returns false when it is spent. */
    [[nodiscard]] bool tryTake(CallPriority priority, TimerService::SteadyTime now);

    /** Returns how many calls are left. */
    [[nodiscard]] double available(TimerService::SteadyTime now) const;

private:
    double rate;
    double burst;
    double tokens;
    TimerService::SteadyTime updated;
};

} // namespace lacewingmux

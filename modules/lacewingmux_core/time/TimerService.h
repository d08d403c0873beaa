#pragma once

#include "lacewingmux_core/time/TimerSubscription.h"

#include <chrono>
#include <functional>

namespace lacewingmux {

/**
    The clock and the timers of one thread. Parts subscribe to it instead of making timers of
    their own, so that tests can drive time by hand.

    All callbacks run on the thread that owns the service.
*/
class TimerService
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;
    using WallTime = std::chrono::system_clock::time_point;

    TimerService() = default;
    virtual ~TimerService() = default;
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /** Returns monotonic time. It goes on while the process is paused or the machine suspended. */
    [[nodiscard]] virtual SteadyTime now() const = 0;

    /** Returns wall-clock time, for people and for records that other VMs read. */
    [[nodiscard]] virtual WallTime wallNow() const = 0;

    /** Calls the callback after each interval until the subscription ends. */
    [[nodiscard]] virtual TimerSubscription every(std::chrono::milliseconds interval,
                                                  std::function<void()> callback) = 0;

    /** Calls the callback once after the delay, unless the subscription ends before. */
    [[nodiscard]] virtual TimerSubscription after(std::chrono::milliseconds delay,
                                                  std::function<void()> callback) = 0;

    /** Calls the callback once, on the next turn of the thread's loop. It cannot be cancelled. */
    virtual void post(std::function<void()> callback) = 0;
};

} // namespace lacewingmux

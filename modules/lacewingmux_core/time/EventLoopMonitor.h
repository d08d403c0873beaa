#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <functional>

namespace lacewingmux {

class MetricsRecorder;

/**
    Records when the event loop of a thread was held up, so that its sockets and timers were not
    served.

    The processor time that the thread used meanwhile tells a long callback from a paused process.
    Make it on the thread of the timer service.
*/
class EventLoopMonitor
{
public:
    /** Returns the processor time that the calling thread has used. */
    using ProcessorTime = std::function<std::chrono::microseconds()>;

    /** Starts to watch the thread that the timer service belongs to. */
    EventLoopMonitor(TimerService &timerService, MetricsRecorder &metricsRecorder,
                     ProcessorTime processorTimeHook = threadProcessorTime);

    /** Delays of more than this are recorded. */
    static constexpr std::chrono::milliseconds reportedDelay{100};

private:
    void check();
    void report(std::chrono::microseconds delay, std::chrono::microseconds used) const;
    [[nodiscard]] static std::chrono::microseconds threadProcessorTime();

    TimerService &timers;
    MetricsRecorder &metrics;
    ProcessorTime processorTime;
    TimerService::SteadyTime lastCheck;
    std::chrono::microseconds lastProcessorTime;
    TimerSubscription timer;
};

} // namespace lacewingmux

#include "lacewingmux_core/time/EventLoopMonitor.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"

#include <ctime>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds checkInterval{50};

} // namespace

EventLoopMonitor::EventLoopMonitor(TimerService &timerService, MetricsRecorder &metricsRecorder,
                                   ProcessorTime processorTimeHook)
    : timers(timerService)
    , metrics(metricsRecorder)
    , processorTime(std::move(processorTimeHook))
    , lastCheck(timerService.now())
    , lastProcessorTime(this->processorTime())
    , timer(timerService.every(checkInterval, [this] { this->check(); }))
{ }

void EventLoopMonitor::check()
{
    const TimerService::SteadyTime now = this->timers.now();
    const microseconds used = this->processorTime();
    const auto delay = std::chrono::floor<microseconds>(now - this->lastCheck) - checkInterval;
    if (delay > reportedDelay)
        this->report(delay, used - this->lastProcessorTime);
    this->lastCheck = now;
    this->lastProcessorTime = used;
}

void EventLoopMonitor::report(microseconds delay, microseconds used) const
{
    this->metrics.observe("lacewingmux_event_loop_delay_seconds", {}, delay);
    LogEvent(LogSeverity::Warning, "eventLoopDelayed")
            .field("milliseconds",
                   static_cast<qint64>(std::chrono::floor<milliseconds>(delay).count()))
            .field("processorMilliseconds",
                   static_cast<qint64>(std::chrono::floor<milliseconds>(used).count()));
}

microseconds EventLoopMonitor::threadProcessorTime()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::floor<microseconds>(std::chrono::seconds(time.tv_sec)
                                            + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace lacewingmux

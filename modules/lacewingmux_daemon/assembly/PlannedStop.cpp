#include "lacewingmux_daemon/assembly/PlannedStop.h"

#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_daemon/assembly/TrafficStatus.h"
#include "lacewingmux_daemon/settings/DaemonSettings.h"

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds pollInterval{50};

} // namespace

PlannedStop::PlannedStop(TimerService &timerService, const StopSettings &stopSettings,
                         PlannedStopHooks stopHooks)
    : timers(timerService)
    , hooks(std::move(stopHooks))
    , balancerDelay(stopSettings.balancerDelay)
    , timeout(stopSettings.timeout)
{ }

PlannedStop::~PlannedStop()
{
    *this->alive = false;
}

void PlannedStop::begin()
{
    if (this->step != Step::NotBegun)
        return;
    this->step = Step::Announced;
    LogEvent(LogSeverity::Info, "plannedStopBegun")
            .field("balancerDelayMs", static_cast<qint64>(this->balancerDelay.count()));
    this->hooks.becomeUnready();
    this->deadline = this->timers.after(this->timeout, [this] { this->end(false); });
    this->nextStep = this->timers.after(this->balancerDelay, [this] { this->startDraining(); });
}

void PlannedStop::startDraining()
{
    this->step = Step::Draining;
    this->hooks.refuseConnections();
    this->nextStep = this->timers.every(pollInterval, [this] { this->poll(); });
}

void PlannedStop::poll()
{
    this->hooks.requestStatus([this, token = this->alive](const TrafficStatus &status) {
        if (*token)
            this->consider(status);
    });
}

void PlannedStop::consider(const TrafficStatus &status)
{
    if (this->step == Step::Draining && status.runningCalls == 0) {
        this->step = Step::Leaving;
        LogEvent(LogSeverity::Info, "plannedStopLeavesView")
                .field("ownerRequests", static_cast<qint64>(status.ownerRequests));
        this->hooks.leaveView();
        return;
    }
    if (this->step == Step::Leaving && status.drained && status.isIdle())
        this->end(true);
}

void PlannedStop::end(bool complete)
{
    if (this->step == Step::Ended)
        return;
    this->step = Step::Ended;
    this->nextStep.cancel();
    this->deadline.cancel();
    LogEvent(complete ? LogSeverity::Info : LogSeverity::Error, "plannedStopEnded")
            .field("complete", complete);
    this->hooks.stopped(complete);
}

} // namespace lacewingmux

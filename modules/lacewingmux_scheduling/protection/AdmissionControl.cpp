#include "lacewingmux_scheduling/protection/AdmissionControl.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr std::uint64_t minimumIntervals = 20;
constexpr double intervalWeight = 0.02; ///< minimum weight of one interval in the moving average

} // namespace

AdmissionControl::AdmissionControl(double timeoutMargin)
    : margin(timeoutMargin)
{ }

void AdmissionControl::started(SteadyTime now, bool othersQueued)
{
    if (this->saturated) {
        const double interval = std::chrono::duration<double>(now - this->lastStart).count();
        ++this->measuredIntervals;
        const double weight =
                std::max(intervalWeight, 1.0 / static_cast<double>(this->measuredIntervals));
        this->startIntervalSeconds += weight * (interval - this->startIntervalSeconds);
    }
    this->saturated = othersQueued;
    this->lastStart = now;
}

QueueDecision AdmissionControl::decide(const QueueConditions &conditions) const
{
    if (conditions.teamQueued == 0 || this->measuredIntervals < minimumIntervals)
        return {};
    const std::chrono::milliseconds wait = this->expectedWait(conditions);
    const std::chrono::duration<double, std::milli> bound = conditions.queueTimeout * this->margin;
    if (wait <= bound)
        return {};
    return {false, std::max(std::chrono::milliseconds(100), wait - conditions.queueTimeout)};
}

std::chrono::milliseconds AdmissionControl::expectedWait(const QueueConditions &conditions) const
{
    const double seconds = static_cast<double>(conditions.teamQueued) * this->startIntervalSeconds
                           / std::max(conditions.teamShare, 0.001);
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

} // namespace lacewingmux

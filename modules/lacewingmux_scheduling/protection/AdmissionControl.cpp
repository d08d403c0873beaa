#include "lacewingmux_scheduling/protection/AdmissionControl.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr std::uint64_t intervalsNeeded = 20;
constexpr double intervalWeight = 0.02; ///< of one interval in the moving average

} // namespace

AdmissionControl::AdmissionControl(double timeoutMargin)
    : margin(timeoutMargin)
{ }

void AdmissionControl::started(SteadyTime now, bool othersWait)
{
    if (this->saturated) {
        const double interval = std::chrono::duration<double>(now - this->lastStart).count();
        ++this->intervalsSeen;
        const double weight =
                std::max(intervalWeight, 1.0 / static_cast<double>(this->intervalsSeen));
        this->startIntervalSeconds += weight * (interval - this->startIntervalSeconds);
    }
    this->saturated = othersWait;
    this->lastStart = now;
}

QueueDecision AdmissionControl::decide(const QueueOutlook &outlook) const
{
    if (outlook.teamQueued == 0 || this->intervalsSeen < intervalsNeeded)
        return {};
    const std::chrono::milliseconds wait = this->foreseenWait(outlook);
    const std::chrono::duration<double, std::milli> bound = outlook.queueTimeout * this->margin;
    if (wait <= bound)
        return {};
    return {false, std::max(std::chrono::milliseconds(100), wait - outlook.queueTimeout)};
}

std::chrono::milliseconds AdmissionControl::foreseenWait(const QueueOutlook &outlook) const
{
    const double seconds = static_cast<double>(outlook.teamQueued) * this->startIntervalSeconds
                           / std::max(outlook.teamShare, 0.001);
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** The state of a queue, as seen by a call that asks to join it. */
struct QueueConditions
{
    std::size_t teamQueued = 0; ///< queued calls of the same team; see WorkQueue::teamSize()
    double teamShare = 1;       ///< see WorkQueue::teamShare()
    std::chrono::milliseconds queueTimeout{0};
};

/** The decision of AdmissionControl. */
struct QueueDecision
{
    bool admitted = true;
    std::chrono::milliseconds retryAfter{0}; ///< set only for a refused call
};

/**
    Refuses a call immediately if it is expected to reach its queue timeout, instead of letting it
    wait in vain.

    The wait is estimated from the number of the team's queued calls, its share of the pool and the
    interval between starts while the pool was saturated. Every call is admitted until enough such
    intervals were measured, and a team without queued calls is always admitted.
*/
class AdmissionControl
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** The margin limits the expected wait, as a multiple of the queue timeout. */
    explicit AdmissionControl(double timeoutMargin = 1.5);

    /** Records that a call left the queue to run, and whether other calls are still queued. */
    void started(SteadyTime now, bool othersQueued);

    /** Decides whether a call may join the queue. */
    [[nodiscard]] QueueDecision decide(const QueueConditions &conditions) const;

    /** Returns the expected wait of a call that joins the queue. */
    [[nodiscard]] std::chrono::milliseconds expectedWait(const QueueConditions &conditions) const;

private:
    double margin;
    double startIntervalSeconds = 0; ///< moving average over times of saturation
    std::uint64_t measuredIntervals = 0;
    bool saturated = false;
    SteadyTime lastStart;
};

} // namespace lacewingmux

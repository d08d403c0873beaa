#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** What is known of a queue when a call asks to join it. */
struct QueueOutlook
{
    std::size_t teamQueued = 0; ///< calls of the same team that wait, see WorkQueue::teamSize()
    double teamShare = 1;       ///< see WorkQueue::teamShare()
    std::chrono::milliseconds queueTimeout{0};
};

/** The answer of AdmissionControl. */
struct QueueDecision
{
    bool admitted = true;
    std::chrono::milliseconds retryAfter{0}; ///< for a refused call
};

/**
    Refuses a call at once when it would foreseeably reach its queue timeout, instead of letting it
    wait for nothing.

    The wait is foreseen from the team's own waiting calls, its share of the pool and the interval
    between starts while the pool was saturated. Until enough of such intervals were seen every
    call is admitted, and a team without waiting calls is always admitted.
*/
class AdmissionControl
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** The margin is how many queue timeouts the foreseen wait may reach. */
    explicit AdmissionControl(double timeoutMargin = 1.5);

    /** Notes that a call left the queue to run, and whether others still wait. */
    void started(SteadyTime now, bool othersWait);

    /** Decides whether a call joins the queue. */
    [[nodiscard]] QueueDecision decide(const QueueOutlook &outlook) const;

    /** Returns the foreseen wait. */
    [[nodiscard]] std::chrono::milliseconds foreseenWait(const QueueOutlook &outlook) const;

private:
    double margin;
    double startIntervalSeconds = 0; ///< moving average over saturated times
    std::uint64_t intervalsSeen = 0;
    bool saturated = false;
    SteadyTime lastStart;
};

} // namespace lacewingmux

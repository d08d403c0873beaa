#pragma once

#include "lacewingmux_core/time/TimerSubscription.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace lacewingmux {

class TimerService;
struct StopSettings;
struct TrafficStatus;

/** What a planned stop does to the daemon. */
struct PlannedStopHooks
{
    std::function<void()> becomeUnready;     ///< /readyz answers that this VM is not ready
    std::function<void()> refuseConnections; ///< no more callers, and no new work for the owner
    std::function<void()> leaveView;         ///< asks for a view without this VM

    /** Asks for the traffic thread's status; the answer comes on the control thread. */
    std::function<void(std::function<void(const TrafficStatus &)>)> requestStatus;

    /** Called once, at the end: whether everything was answered and handed over. */
    std::function<void(bool complete)> stopped;
};

/**
    The steps of a planned stop, on the control thread: unready first, so that the balancer stops
    sending callers; then no new connections and no new work, until what runs has ended; then out
    of the view, until every slot is active elsewhere and every caller has its answer.

    A stop that takes longer than the settings allow ends where it is, and says so.
*/
class PlannedStop
{
public:
    PlannedStop(TimerService &timerService, const StopSettings &stopSettings,
                PlannedStopHooks stopHooks);
    ~PlannedStop();
    PlannedStop(const PlannedStop &) = delete;
    PlannedStop &operator=(const PlannedStop &) = delete;

    /** Begins the stop; further calls do nothing. */
    void begin();

private:
    enum class Step : std::uint8_t { NotBegun, Announced, Draining, Leaving, Ended };

    void startDraining();
    void poll();
    void consider(const TrafficStatus &status);
    void end(bool complete);

    TimerService &timers;
    PlannedStopHooks hooks;
    std::chrono::milliseconds balancerDelay;
    std::chrono::milliseconds timeout;
    Step step = Step::NotBegun;
    TimerSubscription deadline;
    TimerSubscription nextStep;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< ends late answers with this
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/JitteredBackoff.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_keyvalue/store/ProbePace.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>

namespace lacewingmux {

/**
    Lets the watches of one client call an unreachable store one at a time, in turn.

    Every call to the store costs money and counts against the limit of all VMs, so an outage must
    not be probed once per prefix. The interval from the start of one probe to the start of the next
    grows, is random, and stays below a second, the time in which a VM must detect that the store
    serves it again. The watches take turns, so that a fault of one prefix does not hide that the
    store serves the others.
*/
class ProbeQueue
{
public:
    /** A watch's place in the queue, from when it waits until its probe has ended. Destroying it
        leaves the queue. */
    class Place
    {
    public:
        Place(ProbeQueue &probeQueue, std::function<void()> startProbe);
        ~Place();
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

        /** Returns whether it is this place's turn to call the store. */
        [[nodiscard]] bool isProbing() const noexcept;

    private:
        friend class ProbeQueue;

        ProbeQueue &queue;
        std::function<void()> start;
    };

    /** The random function returns numbers from 0 to 1. */
    ProbeQueue(TimerService &timerService, std::function<double()> randomFunction);
    ProbeQueue(const ProbeQueue &) = delete;
    ProbeQueue &operator=(const ProbeQueue &) = delete;

    /** Joins at the end of the queue. The function is called when the probe may start. */
    [[nodiscard]] std::unique_ptr<Place> join(std::function<void()> startProbe);

    /** Sets how often the store is probed. */
    void setPace(ProbePace newPace);

    /** Starts again from the shortest interval, as a call has just failed. */
    void restartAfterFailure();

    /** Starts again from the shortest interval and lets the first probe start at once. */
    void restartNow();

    /** Returns whether the present probe should not wait long for its reply: half of them, so that
        a call that was lost in the outage does not delay the next one. */
    [[nodiscard]] bool isShortProbe() const noexcept
    {
        return this->shortProbe;
    }

    /** Returns how long the watches that waited should leave it to a relay to serve this VM, once a
        probe of this VM was answered. */
    [[nodiscard]] std::chrono::milliseconds delayAfterReturn() const;

private:
    void leave(const Place *place);
    void schedule();
    void startNext();
    [[nodiscard]] static JitteredBackoff backoffFor(ProbePace pace);

    TimerService &timers;
    std::function<double()> random;
    ProbePace pace = ProbePace::Quick;
    JitteredBackoff backoff;
    std::deque<const Place *> waiting;
    const Place *probing = nullptr; ///< the place whose call is under way
    TimerService::SteadyTime nextStart;
    bool shortProbe = false;
    TimerSubscription startTimer;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <memory>
#include <vector>

namespace lacewingmux::test {

/** Timers of one pausable process. While paused, time advances and callbacks are deferred. */
class PausableTimers final : public TimerService
{
public:
    /** With freezesClock, a fault, the process doesn't notice that time has passed. */
    explicit PausableTimers(TimerService &sharedTimers, bool freezesClock = false)
        : shared(sharedTimers)
        , freezesWhilePaused(freezesClock)
    { }

    SteadyTime now() const override
    {
        return this->shared.now() - this->lag;
    }
    WallTime wallNow() const override
    {
        return this->shared.wallNow();
    }
    TimerSubscription every(std::chrono::milliseconds interval,
                            std::function<void()> callback) override
    {
        return this->shared.every(interval, this->guarded(std::move(callback), true));
    }
    TimerSubscription after(std::chrono::milliseconds delay,
                            std::function<void()> callback) override
    {
        return this->shared.after(delay, this->guarded(std::move(callback), false));
    }
    void post(std::function<void()> callback) override
    {
        this->shared.post(this->guarded(std::move(callback), false));
    }

    void pause()
    {
        this->state->paused = true;
        this->pausedAt = this->shared.now();
    }

    void resume()
    {
        this->state->paused = false;
        if (this->freezesWhilePaused)
            this->lag += this->shared.now() - this->pausedAt;
        const auto held = std::exchange(this->state->held, {});
        for (const auto &callback : held)
            callback();
    }

private:
    struct State
    {
        bool paused = false;
        std::vector<std::function<void()>> held;
    };

    std::function<void()> guarded(std::function<void()> callback, bool repeats)
    {
        return [weak = std::weak_ptr<State>(this->state), callback = std::move(callback), repeats] {
            const auto locked = weak.lock();
            if (!locked)
                return;
            if (!locked->paused)
                callback();
            else if (!repeats)
                locked->held.push_back(callback);
        };
    }

    TimerService &shared;
    bool freezesWhilePaused;
    SteadyTime pausedAt;
    SteadyTime::duration lag{0};
    std::shared_ptr<State> state = std::make_shared<State>();
};

} // namespace lacewingmux::test

#pragma once

#include <functional>
#include <memory>

namespace lacewingmux {

/**
    Keeps one timer alive. Destroying or cancelling it stops the timer; after that the callback
    is never called again. Move-only.
*/
class TimerSubscription
{
public:
    TimerSubscription() = default;
    explicit TimerSubscription(std::function<void()> cancelTimer);
    ~TimerSubscription();

    TimerSubscription(TimerSubscription &&other) noexcept;
    TimerSubscription &operator=(TimerSubscription &&other) noexcept;
    TimerSubscription(const TimerSubscription &) = delete;
    TimerSubscription &operator=(const TimerSubscription &) = delete;

    /** Stops the timer. Safe to call more than once and from within the callback. */
    void cancel();

private:
    std::function<void()> cancelTimer;
};

} // namespace lacewingmux

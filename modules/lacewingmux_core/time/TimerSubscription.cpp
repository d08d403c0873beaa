#include "lacewingmux_core/time/TimerSubscription.h"

#include <utility>

namespace lacewingmux {

TimerSubscription::TimerSubscription(std::function<void()> cancel)
    : cancelTimer(std::move(cancel))
{ }

TimerSubscription::~TimerSubscription()
{
    this->cancel();
}

TimerSubscription::TimerSubscription(TimerSubscription &&other) noexcept
    : cancelTimer(std::exchange(other.cancelTimer, nullptr))
{ }

TimerSubscription &TimerSubscription::operator=(TimerSubscription &&other) noexcept
{
    if (this != &other) {
        this->cancel();
        this->cancelTimer = std::exchange(other.cancelTimer, nullptr);
    }
    return *this;
}

void TimerSubscription::cancel()
{
    if (const auto cancelOnce = std::exchange(this->cancelTimer, nullptr))
        cancelOnce();
}

} // namespace lacewingmux

#include "lacewingmux_experiment/simulation/EventQueue.h"

#include <utility>

namespace lacewingmux::experiment {

std::chrono::microseconds EventQueue::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
            this->currentTime.time_since_epoch());
}

void EventQueue::after(std::chrono::microseconds delay, std::function<void()> callback)
{
    this->events.push({this->currentTime + delay, ++this->added, std::move(callback)});
}

void EventQueue::run(const std::function<bool()> &stop, std::chrono::microseconds limit)
{
    while (!this->events.empty() && !stop() && this->elapsed() < limit) {
        // The queue only gives constant access to its top, which is removed at once.
        Event event = std::move(const_cast<Event &>(this->events.top()));
        this->events.pop();
        this->currentTime = event.at;
        event.callback();
    }
}

} // namespace lacewingmux::experiment

#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lacewingmux::experiment {

/** The virtual clock: runs callbacks in the order of their time, ties in the order of adding. */
class EventQueue
{
public:
    using SteadyTime = TimerService::SteadyTime;

    EventQueue() = default;
    EventQueue(const EventQueue &) = delete;
    EventQueue &operator=(const EventQueue &) = delete;

    /** Returns the virtual time. */
    [[nodiscard]] SteadyTime now() const noexcept
    {
        return this->currentTime;
    }

    /** Returns the virtual time since the start of the run. */
    [[nodiscard]] std::chrono::microseconds elapsed() const;

    /** Runs the callback after the delay. */
    void after(std::chrono::microseconds delay, std::function<void()> callback);

    /** Runs callbacks until none is left, the stop condition holds or the limit is reached. */
    void run(const std::function<bool()> &stop, std::chrono::microseconds limit);

private:
    struct Event
    {
        SteadyTime at;
        std::uint64_t order = 0;
        std::function<void()> callback;
        friend bool operator>(const Event &left, const Event &right)
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };

    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    SteadyTime currentTime{};
    std::uint64_t added = 0;
};

} // namespace lacewingmux::experiment

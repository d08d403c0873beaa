#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

/**
    A timer service whose time moves only when told, for tests, schedule exploration and the
    experiment tool. Timers due at the same moment fire in the order they were made.
*/
class ManualTimerService final : public TimerService
{
public:
    ManualTimerService();
    ~ManualTimerService() override;

    [[nodiscard]] SteadyTime now() const override;
    [[nodiscard]] WallTime wallNow() const override;
    [[nodiscard]] TimerSubscription every(std::chrono::milliseconds interval,
                                          std::function<void()> callback) override;
    [[nodiscard]] TimerSubscription after(std::chrono::milliseconds delay,
                                          std::function<void()> callback) override;
    void post(std::function<void()> callback) override;

    /** Moves time forward by the duration and fires what falls due, in order. */
    void advance(std::chrono::milliseconds duration);

    /** Runs posted callbacks and those they post, without moving time. */
    void runPosted();

private:
    struct Entry
    {
        std::chrono::milliseconds interval; ///< zero for a timer that fires once
        std::function<void()> callback;
    };
    struct Key
    {
        SteadyTime due;
        std::uint64_t order;

        friend bool operator<(const Key &left, const Key &right) noexcept
        {
            return left.due != right.due ? left.due < right.due : left.order < right.order;
        }
    };
    struct State;

    [[nodiscard]] TimerSubscription start(std::chrono::milliseconds delay,
                                          std::chrono::milliseconds interval,
                                          std::function<void()> callback);

    std::shared_ptr<State> state;
};

} // namespace lacewingmux

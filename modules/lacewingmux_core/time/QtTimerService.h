#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <memory>

class QObject;
class QTimer;

namespace lacewingmux {

/**
    The timer service on top of the Qt event loop of the thread that makes it.

    Before a callback of a timer runs, the thread's sockets have been polled and served once since
    the timer was due. So nothing times out although what it waits for has arrived, also when the
    process was paused meanwhile.
*/
class QtTimerService final : public TimerService
{
public:
    QtTimerService();
    ~QtTimerService() override;

    [[nodiscard]] SteadyTime now() const override;
    [[nodiscard]] WallTime wallNow() const override;
    [[nodiscard]] TimerSubscription every(std::chrono::milliseconds interval,
                                          std::function<void()> callback) override;
    [[nodiscard]] TimerSubscription after(std::chrono::milliseconds delay,
                                          std::function<void()> callback) override;
    void post(std::function<void()> callback) override;

private:
    [[nodiscard]] QTimer *createTimer();

    std::unique_ptr<QObject> context;
};

} // namespace lacewingmux

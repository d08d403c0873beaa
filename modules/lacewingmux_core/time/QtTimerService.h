#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <memory>

class QObject;

namespace lacewingmux {

/** The timer service on top of the Qt event loop of the thread that makes it. */
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
    [[nodiscard]] TimerSubscription start(std::chrono::milliseconds interval, bool once,
                                          std::function<void()> callback);

    std::unique_ptr<QObject> context;
};

} // namespace lacewingmux

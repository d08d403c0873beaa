#include "lacewingmux_core/time/QtTimerService.h"

#include <QPointer>
#include <QTimer>

#include <ctime>

namespace lacewingmux {

QtTimerService::QtTimerService()
    : context(std::make_unique<QObject>())
{ }

QtTimerService::~QtTimerService() = default;

TimerService::SteadyTime QtTimerService::now() const
{
    // Unlike the steady clock, this one goes on while the machine is suspended.
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

TimerService::WallTime QtTimerService::wallNow() const
{
    return std::chrono::system_clock::now();
}

TimerSubscription QtTimerService::every(std::chrono::milliseconds interval,
                                        std::function<void()> callback)
{
    return this->start(interval, false, std::move(callback));
}

TimerSubscription QtTimerService::after(std::chrono::milliseconds delay,
                                        std::function<void()> callback)
{
    return this->start(delay, true, std::move(callback));
}

void QtTimerService::post(std::function<void()> callback)
{
    QMetaObject::invokeMethod(this->context.get(), std::move(callback), Qt::QueuedConnection);
}

TimerSubscription QtTimerService::start(std::chrono::milliseconds interval, bool once,
                                        std::function<void()> callback)
{
    auto *timer = new QTimer(this->context.get());
    timer->setTimerType(Qt::PreciseTimer);
    timer->setSingleShot(once);
    QObject::connect(timer, &QTimer::timeout, timer, [timer, once, callback = std::move(callback)] {
        if (once)
            timer->deleteLater();
        callback();
    });
    timer->start(interval);
    return TimerSubscription([guard = QPointer<QTimer>(timer)] {
        if (!guard)
            return;
        guard->stop();
        guard->deleteLater();
    });
}

} // namespace lacewingmux

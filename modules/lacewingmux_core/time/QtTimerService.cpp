#include "lacewingmux_core/time/QtTimerService.h"

#include <QPointer>
#include <QTimer>

#include <ctime>
#include <utility>

namespace lacewingmux {

namespace {

// A timer without an interval fires behind the sockets of the next turn of the loop.
constexpr std::chrono::milliseconds socketsTurn{0};

} // namespace

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
    auto *timer = this->createTimer();
    auto *nextTurn = new QTimer(timer);
    nextTurn->setSingleShot(true);
    QObject::connect(timer, &QTimer::timeout, nextTurn,
                     [nextTurn] { nextTurn->start(socketsTurn); });
    QObject::connect(nextTurn, &QTimer::timeout, timer, std::move(callback));
    timer->start(interval);
    return TimerSubscription([guard = QPointer<QTimer>(timer), nextTurn] {
        if (!guard)
            return;
        guard->stop();
        nextTurn->stop();
        guard->deleteLater();
    });
}

TimerSubscription QtTimerService::after(std::chrono::milliseconds delay,
                                        std::function<void()> callback)
{
    auto *timer = this->createTimer();
    timer->setSingleShot(true);
    QObject::connect(timer, &QTimer::timeout, timer,
                     [timer, isDue = false, callback = std::move(callback)]() mutable {
                         if (!std::exchange(isDue, true)) {
                             timer->start(socketsTurn);
                             return;
                         }
                         timer->deleteLater();
                         callback();
                     });
    timer->start(delay);
    return TimerSubscription([guard = QPointer<QTimer>(timer)] {
        if (!guard)
            return;
        guard->stop();
        guard->deleteLater();
    });
}

void QtTimerService::post(std::function<void()> callback)
{
    QMetaObject::invokeMethod(this->context.get(), std::move(callback), Qt::QueuedConnection);
}

QTimer *QtTimerService::createTimer()
{
    auto *timer = new QTimer(this->context.get());
    timer->setTimerType(Qt::PreciseTimer);
    return timer;
}

} // namespace lacewingmux

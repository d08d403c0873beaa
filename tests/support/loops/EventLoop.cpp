#include "loops/EventLoop.h"

#include <QElapsedTimer>
#include <QEvent>
#include <QEventLoop>

#include <criterion/criterion.h>

namespace lacewingmux {

namespace {

constexpr qint64 longestWaitMilliseconds = 30000;
constexpr std::chrono::milliseconds slice{2};

} // namespace

EventLoop::EventLoop()
    : application(argumentCount, arguments)
{ }

EventLoop::~EventLoop()
{
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
}

void EventLoop::waitUntil(const std::function<bool()> &condition, const char *what)
{
    QElapsedTimer elapsed;
    elapsed.start();
    while (!condition()) {
        cr_assert(elapsed.elapsed() < longestWaitMilliseconds, "waited in vain: %s", what);
        this->runFor(slice);
    }
}

void EventLoop::runFor(std::chrono::milliseconds duration)
{
    QEventLoop loop;
    const auto subscription = this->timers.after(duration, [&loop] { loop.quit(); });
    loop.exec();
}

} // namespace lacewingmux

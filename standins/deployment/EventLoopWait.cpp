#include "deployment/EventLoopWait.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QThread>

namespace lacewingmux::standin {

namespace {

constexpr std::chrono::milliseconds lookInterval{5};

} // namespace

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds bound)
{
    const QDeadlineTimer deadline(bound);
    while (!condition()) {
        if (deadline.hasExpired())
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents,
                                        static_cast<int>(lookInterval.count()));
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
        QThread::usleep(200);
    }
    return true;
}

} // namespace lacewingmux::standin

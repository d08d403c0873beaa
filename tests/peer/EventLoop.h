#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QThread>

#include <chrono>
#include <functional>

namespace lacewingmux {

/** A Qt event loop for one test, run until something has been observed. */
class EventLoop
{
public:
    /** Runs the loop until the condition holds; returns false after a generous time. */
    bool waitFor(const std::function<bool()> &condition) const
    {
        constexpr qint64 patienceMs = 30000;
        QElapsedTimer elapsed;
        elapsed.start();
        while (!condition()) {
            if (elapsed.elapsed() > patienceMs)
                return false;
            QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
            QThread::msleep(1);
        }
        return true;
    }

private:
    int argumentCount = 1;
    char name[5] = "test";
    char *arguments[2] = {this->name, nullptr};
    QCoreApplication application{this->argumentCount, this->arguments};
};

} // namespace lacewingmux

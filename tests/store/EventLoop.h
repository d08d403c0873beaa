#pragma once

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

#include <chrono>
#include <functional>

namespace lacewingmux {

/** The application object and the event loop of one test. */
class EventLoop
{
public:
    /** How long a test waits for what it expects; only a failing test takes that long. */
    static constexpr std::chrono::seconds patience{30};

    /** Runs the loop until the condition holds; returns false when it never does. */
    bool until(const std::function<bool()> &condition)
    {
        bool late = false;
        QTimer::singleShot(patience, [&late] { late = true; });
        while (!condition() && !late)
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, pollMilliseconds);
        return condition();
    }

private:
    static constexpr int pollMilliseconds = 50;

    int argumentCount = 1;
    char name[5] = "test";
    char *arguments[2] = {name, nullptr};
    QCoreApplication application{argumentCount, arguments};
};

} // namespace lacewingmux

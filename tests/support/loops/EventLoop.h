#pragma once

#include "lacewingmux_core/time/QtTimerService.h"

#include <QCoreApplication>

#include <functional>

namespace lacewingmux {

/** A Qt application with its timers for one test, which waits for observed events only. */
class EventLoop
{
public:
    EventLoop();
    /** Deletes what is left to be deleted, as the threads of Qt's network access must not outlive
       the application. */
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Runs the loop until the condition holds; fails the test when it doesn't for 30 seconds. */
    void waitUntil(const std::function<bool()> &condition, const char *what);

    /** Runs the loop for the duration, to see that something does not happen. */
    void runFor(std::chrono::milliseconds duration);

private:
    int argumentCount = 1;
    char programName[5] = "test";
    char *arguments[2] = {programName, nullptr};
    QCoreApplication application;

public:
    QtTimerService timers;
};

} // namespace lacewingmux

#include "lacewingmux_core/time/QtTimerService.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QSocketNotifier>
#include <QThread>

#include <criterion/criterion.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <string>

#include <unistd.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

/** Which event loop Qt uses. Their orders of timers and sockets differ. */
enum class LoopKind : std::uint8_t { Glib, Poll };

constexpr LoopKind loopKinds[] = {LoopKind::Glib, LoopKind::Poll};

/** A pipe whose bytes are read as they arrive. */
class WatchedPipe
{
public:
    explicit WatchedPipe(std::function<void()> whenRead)
    {
        cr_assert_eq(::pipe(this->ends.data()), 0);
        this->notifier.setSocket(this->ends[0]);
        QObject::connect(&this->notifier, &QSocketNotifier::activated, &this->notifier,
                         [this, whenRead = std::move(whenRead)] {
                             char byte = 0;
                             cr_assert_eq(::read(this->ends[0], &byte, 1), 1);
                             whenRead();
                         });
        this->notifier.setEnabled(true);
    }

    ~WatchedPipe()
    {
        this->notifier.setEnabled(false);
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }
    WatchedPipe(const WatchedPipe &) = delete;
    WatchedPipe &operator=(const WatchedPipe &) = delete;

    void write() const
    {
        cr_assert_eq(::write(this->ends[1], "x", 1), 1);
    }

private:
    std::array<int, 2> ends{};
    QSocketNotifier notifier{QSocketNotifier::Read};
};

/** An application with the event loop of the kind, and what has happened in it. */
class PausedThread
{
public:
    explicit PausedThread(LoopKind kind)
        : application(selectLoop(kind), this->arguments)
    { }

    /** Runs the loop until so many things have happened. */
    std::string runUntil(std::size_t count)
    {
        while (this->happened.size() < count)
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents
                                            | QEventLoop::EventLoopExec);
        return this->happened;
    }

private:
    int &selectLoop(LoopKind kind)
    {
        if (kind == LoopKind::Glib)
            ::unsetenv("QT_NO_GLIB");
        else
            ::setenv("QT_NO_GLIB", "1", 1);
        return this->argumentCount;
    }

    int argumentCount = 1;
    char programName[5] = "test";
    char *arguments[2] = {programName, nullptr};
    QCoreApplication application;

public:
    QtTimerService timers;
    std::string happened; ///< a letter for each
};

} // namespace

// A timer that became due while the thread was paused was served before bytes that had arrived.
Test(QtTimerService, servesWhatHasArrivedBeforeATimer)
{
    for (const LoopKind kind : loopKinds) {
        PausedThread thread(kind);
        WatchedPipe late([&] { thread.happened += 'b'; });
        WatchedPipe first([&] {
            late.write();
            QThread::msleep(100);
            thread.happened += 'p';
        });
        const auto limit = thread.timers.after(60ms, [&] { thread.happened += 't'; });
        // A timer that is due when the sockets are polled makes the loop serve timers as well.
        const auto due = thread.timers.after(10ms, [] {});
        thread.timers.post([&] {
            QThread::msleep(20);
            first.write();
        });
        const std::string happened = thread.runUntil(3);
        cr_assert_eq(happened, "pbt", "loop %d: %s", static_cast<int>(kind), happened.c_str());
    }
}

Test(QtTimerService, servesWhatHasArrivedBeforeARepeatedTimer)
{
    for (const LoopKind kind : loopKinds) {
        PausedThread thread(kind);
        WatchedPipe late([&] { thread.happened += 'b'; });
        WatchedPipe first([&] {
            late.write();
            QThread::msleep(100);
            thread.happened += 'p';
        });
        const auto limit = thread.timers.every(60ms, [&] { thread.happened += 't'; });
        const auto due = thread.timers.after(10ms, [] {});
        thread.timers.post([&] {
            QThread::msleep(20);
            first.write();
        });
        const std::string happened = thread.runUntil(4);
        cr_assert_eq(happened, "pbtt", "loop %d: %s", static_cast<int>(kind), happened.c_str());
    }
}

Test(QtTimerService, cancelledTimerNeverFires)
{
    for (const LoopKind kind : loopKinds) {
        PausedThread thread(kind);
        TimerSubscription once;
        TimerSubscription repeated;
        // Both are due when they are cancelled.
        const auto cancelling = thread.timers.after(10ms, [&] {
            once.cancel();
            repeated.cancel();
            thread.happened += 'c';
        });
        once = thread.timers.after(10ms, [&] { thread.happened += 'o'; });
        repeated = thread.timers.every(10ms, [&] { thread.happened += 'r'; });
        QThread::msleep(20);
        const auto end = thread.timers.after(50ms, [&] { thread.happened += 'e'; });
        const std::string happened = thread.runUntil(2);
        cr_assert_eq(happened, "ce", "loop %d: %s", static_cast<int>(kind), happened.c_str());
    }
}

Test(QtTimerService, firesInOrderOfTheirTime)
{
    for (const LoopKind kind : loopKinds) {
        PausedThread thread(kind);
        const auto third = thread.timers.after(30ms, [&] { thread.happened += '3'; });
        const auto first = thread.timers.after(10ms, [&] { thread.happened += '1'; });
        const auto second = thread.timers.after(20ms, [&] { thread.happened += '2'; });
        QThread::msleep(50);
        const std::string happened = thread.runUntil(3);
        cr_assert_eq(happened, "123", "loop %d: %s", static_cast<int>(kind), happened.c_str());
    }
}

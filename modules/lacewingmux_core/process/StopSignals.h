#pragma once

#include <functional>
#include <memory>

class QSocketNotifier;

namespace lacewingmux {

/**
    Turns SIGTERM and SIGINT, and SIGHUP, into calls on the event loop of the thread that made it.

    The signal handler only writes a byte into a pipe that the loop watches. There may be one object
    in a process; destroying it gives the signals their default meaning back.
*/
class StopSignals
{
public:
    /** Calls the functions for each signal that arrives. Without one for SIGHUP, that signal keeps
        its meaning. Throws LacewingmuxError on failure. */
    explicit StopSignals(std::function<void()> stopRequested,
                         std::function<void()> reloadRequested = nullptr);
    ~StopSignals();
    StopSignals(const StopSignals &) = delete;
    StopSignals &operator=(const StopSignals &) = delete;

private:
    void drainPipe();

    std::function<void()> stop;
    std::function<void()> reload;
    std::unique_ptr<QSocketNotifier> notifier;
    int readEnd = -1;
};

} // namespace lacewingmux

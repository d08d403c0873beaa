#pragma once

#include <functional>
#include <memory>

class QSocketNotifier;

namespace lacewingmux {

/**
    Turns SIGTERM and SIGINT into a call on the event loop of the thread that made it.

    The signal handler only writes a byte into a pipe that the loop watches. There may be one object
    in a process; destroying it gives the signals their default meaning back.
*/
class StopSignals
{
public:
    /** Calls the function for each signal that arrives. Throws LacewingmuxError on failure. */
    explicit StopSignals(std::function<void()> stopRequested);
    ~StopSignals();
    StopSignals(const StopSignals &) = delete;
    StopSignals &operator=(const StopSignals &) = delete;

private:
    void drainPipe();

    std::function<void()> callback;
    std::unique_ptr<QSocketNotifier> notifier;
    int readEnd = -1;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <deque>
#include <functional>
#include <memory>

namespace lacewingmux {

/**
    Shares each turn of the event loop among the connections whose peers send faster than they are
    read, so that the other connections and the timers of the thread are served in time.

    A connection asks for each read of as many bytes as it takes at once. Smaller reads need not be
    shared, as the peer has sent no more.
*/
class SharedReading : public std::enable_shared_from_this<SharedReading>
{
public:
    explicit SharedReading(TimerService &timerService);

    /** Calls the reader now if this turn has room for another read and no connection waits;
        otherwise on a later turn, in the order of the requests. */
    void read(std::function<void()> reader);

private:
    void beginTurn();
    /** Makes room for the reads of the next turn when it begins. */
    void expectNextTurn();

    TimerService &timers;
    std::deque<std::function<void()>> waiting;
    int readsOfTurn = 0;
    bool expectsTurn = false;
};

} // namespace lacewingmux

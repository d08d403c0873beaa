#pragma once

#include <chrono>

namespace lacewingmux {

/**
    The waits between attempts to dial a peer: doubled after each failure up to a maximum, each
    drawn evenly from the upper half so that daemons that lost a peer together don't dial together.
*/
class ReconnectBackoff
{
public:
    ReconnectBackoff(std::chrono::milliseconds shortestWait, std::chrono::milliseconds longestWait);

    /** Returns the wait before the next attempt; random lies between 0 and 1. */
    [[nodiscard]] std::chrono::milliseconds next(double random);

    /** Starts again from the shortest wait, after a link was up. */
    void reset();

private:
    std::chrono::milliseconds shortest;
    std::chrono::milliseconds longest;
    std::chrono::milliseconds current;
};

} // namespace lacewingmux

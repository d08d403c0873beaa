#pragma once

#include <chrono>

namespace lacewingmux {

/**
    The pause before the next attempt to reach a service or a peer: doubled with each failure up to
    a limit, and spread at random over the upper half, so that many don't come back at once.
*/
class JitteredBackoff
{
public:
    /** Both pauses must be positive. */
    JitteredBackoff(std::chrono::milliseconds firstPause, std::chrono::milliseconds longestPause);

    /** Returns the next pause; the random number is from 0 to 1. */
    [[nodiscard]] std::chrono::milliseconds next(double random);

    /** Starts again from the first pause, after a success. */
    void reset();

private:
    std::chrono::milliseconds first;
    std::chrono::milliseconds longest;
    std::chrono::milliseconds current;
};

} // namespace lacewingmux

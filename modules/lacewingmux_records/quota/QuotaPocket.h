#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <deque>

namespace lacewingmux {

/**
    The admission tokens of one team that an entry VM holds, and how many it should hold. Tokens
    lapse soon, so that the whole fleet stays within the team's rate in any few seconds, and those
    that a suspended VM holds are worth nothing when it wakes. Time is passed in.
*/
class QuotaPocket
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** How long a token may be used: a twelfth of the shortest window of a quota. */
    static constexpr std::chrono::milliseconds tokenLife{400};

    /** Puts tokens in. */
    void put(int tokens, SteadyTime now);

    /** Takes one token; returns false when there is none. */
    [[nodiscard]] bool take(SteadyTime now);

    /** Notes that a request asked for a token, whether it got one or not. */
    void noteDemand(SteadyTime now);

    /** Returns how many tokens to ask for, with so many requests waiting; 0 when it holds enough.
     */
    [[nodiscard]] int wanted(int waiting, SteadyTime now);

private:
    struct Batch
    {
        int tokens = 0;
        SteadyTime lapses;
    };

    void dropLapsed(SteadyTime now);
    [[nodiscard]] int held() const;

    std::deque<Batch> batches;
    double demandPerSecond = 0; ///< decaying
    SteadyTime demandKnown;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <deque>

namespace lacewingmux {

/**
    The admission tokens of one team that an entry VM holds, and an estimate of how many it should
    hold. Tokens expire quickly, so that all entry VMs together stay within the team's rate in any
    window of a few seconds, and a suspended VM resumes without valid tokens. Reads no clock: the
    current time is a parameter.
*/
class QuotaTokenCache
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** How long a token is valid: a twelfth of the shortest window of a quota. */
    static constexpr std::chrono::milliseconds tokenLife{400};

    /** Adds tokens whose lifetime starts at the given time. */
    void put(int tokens, SteadyTime now, std::chrono::milliseconds life = tokenLife);

    /** Takes one token; returns false if there is none. */
    [[nodiscard]] bool take(SteadyTime now);

    /** Records that a request needs a token, whether it gets one or not. */
    void recordDemand(SteadyTime now);

    /** Returns how many tokens to request for the waiting requests and the expected demand; 0 if
        enough are held. */
    [[nodiscard]] int wanted(int waiting, SteadyTime now);

private:
    struct Batch
    {
        int tokens = 0;
        SteadyTime expires;
    };

    void dropExpired(SteadyTime now);
    [[nodiscard]] int held() const;

    std::deque<Batch> batches;
    double demandPerSecond = 0; ///< exponentially decaying average
    SteadyTime demandUpdated;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <optional>

namespace lacewingmux {

/**
    A records VM's share of one team's rate and burst: a token bucket with a floor. Tokens below
    the floor are not granted, and the floor is on disk, so that after a crash the bucket contains
    the tokens that were certainly not spent: the team's burst survives the process. Reads no clock:
    the current time is a parameter.
*/
class QuotaTokenBucket
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Creates a bucket with the unspent tokens that were read from disk. */
    QuotaTokenBucket(double unspentTokens, SteadyTime now);

    /** Sets the share of the rate and of the burst in requests; tokens beyond it are discarded.
        Called regularly while the share is held: no tokens accrue for a longer pause between two
        calls, in which another VM may have held the share. */
    void setShare(double requestsPerSecond, double burst, SteadyTime now);

    /** Takes up to the wanted number of whole tokens, but leaves the given fraction of the burst;
        returns the number taken. */
    [[nodiscard]] int take(int wanted, double reserve, SteadyTime now);

    /** Returns the time until a token can be taken that leaves the given fraction of the burst. */
    [[nodiscard]] std::chrono::milliseconds untilNext(double reserve, SteadyTime now) const;

    /** Returns a lower floor to write to disk, if the current one will soon limit grants. */
    [[nodiscard]] std::optional<double> lowerFloor(SteadyTime now);

    /** Raises the floor at once and returns it for writing to disk, if many tokens lie above it. */
    [[nodiscard]] std::optional<double> raiseFloor(SteadyTime now);

    /** Discards all tokens and the floor; returns whether the floor on disk has to be replaced. */
    bool discard(SteadyTime now);

    /** Applies a lower floor after it has been written to disk. */
    void setFloor(double tokensKept);

private:
    void refill(SteadyTime now);
    /** Returns the tokens that a request with this reserve leaves in the bucket. */
    [[nodiscard]] double tokensLeftBy(double reserve) const;

    double rate = 0;
    double capacity = 0;
    double tokens;
    double floor;
    bool isLowering = false; ///< a lower floor is being written to disk
    SteadyTime updated;
    std::optional<SteadyTime> shareSetAt; ///< when the share was last set
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <cstdint>
#include <unordered_map>

namespace lacewingmux {

/**
    How large a part of the turns begins with each prompt part, as estimated from the turns that
   this VM received. A part that many programs share is worth having in the caches of many replicas.
    Reads no clock: the current time is a parameter.
*/
class PromptPopularity
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Records a turn whose prompt begins with the part. */
    void record(std::uint64_t part, SteadyTime now);

    /** Returns the recent number of turns that begin with the part. */
    [[nodiscard]] double count(std::uint64_t part) const;

    /** Returns the fraction of turns that begin with the part, from 0 to 1. */
    [[nodiscard]] double fraction(std::uint64_t part) const;

private:
    void decay(SteadyTime now);

    std::unordered_map<std::uint64_t, double> turns; ///< exponentially decaying, by part
    double total = 0;
    SteadyTime decayedAt;
};

} // namespace lacewingmux

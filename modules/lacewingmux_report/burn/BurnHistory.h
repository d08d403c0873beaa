#pragma once

#include "lacewingmux_report/burn/BurnCounts.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lacewingmux {

/**
    The judged requests of one team on one route over the last three days, in a fixed 7 KB: an hour
    in steps of a minute and three days in steps of a quarter of an hour.

    A window that starts within a step counts the whole step, so it may be one step too long.
*/
class BurnHistory
{
public:
    using Time = std::chrono::system_clock::time_point;

    /** Adds requests that ended at the given time. Times older than what is kept are dropped. */
    void add(Time when, const BurnCounts &counts);

    /** Returns the requests that ended within the length of time before now. */
    [[nodiscard]] BurnCounts sum(Time now, std::chrono::minutes length) const;

    /** Adds the steps of another VM's history for the same team and route. */
    void merge(const BurnHistory &other);

private:
    struct Step
    {
        std::int64_t number = -1; ///< start of the step divided by its length
        BurnCounts counts;
    };

    template <std::size_t StepCount>
    struct Ring
    {
        std::chrono::minutes stepLength;
        std::array<Step, StepCount> steps{};

        void add(std::int64_t number, const BurnCounts &counts);
        [[nodiscard]] BurnCounts sum(Time now, std::chrono::minutes length) const;
        void merge(const Ring &other);
        [[nodiscard]] std::int64_t numberOf(Time when) const;
    };

    static constexpr std::size_t fineSteps = 61;
    static constexpr std::size_t coarseSteps = 289;

    Ring<fineSteps> fine{std::chrono::minutes(1), {}};
    Ring<coarseSteps> coarse{std::chrono::minutes(15), {}};
};

} // namespace lacewingmux

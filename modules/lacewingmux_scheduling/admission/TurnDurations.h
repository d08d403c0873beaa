#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingmux {

/**
    Learns from completed turns of one service how long a turn occupies a replica.

    The time to the first event contains the wait in the replica's queue. Reading the prompt is
    therefore estimated from the shorter ones.
*/
class TurnDurations
{
public:
    /** Records a turn that ran without interruption: the time from sending it to its first event,
        the time from there to its end, and the tokens that it was allowed to generate. */
    void record(std::chrono::milliseconds untilFirstEvent, std::chrono::milliseconds writing,
                std::int64_t maximumTokens);

    /** Returns the mean time that a turn occupies a replica; nothing until a turn was recorded. */
    [[nodiscard]] std::optional<std::chrono::milliseconds> mean() const;

    /** Returns the expected time of a turn that may generate the tokens; 0 means not stated. */
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    expected(std::int64_t maximumTokens) const;

private:
    std::int64_t recorded = 0;
    double readingMilliseconds = 0;
    double writingMilliseconds = 0;
    double maximumTokenMean = 0; ///< of the turns that state it
};

} // namespace lacewingmux

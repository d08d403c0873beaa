#pragma once

#include <QHash>
#include <QString>

#include <chrono>
#include <unordered_map>

namespace lacewingmux {

/** What is expected of a pause that begins now. */
struct PauseEstimate
{
    std::chrono::milliseconds pause{0}; ///< mean of the pauses that ended with another call
    double returnProbability = 1;       ///< that another call comes at all
};

/** Learns the pauses between the calls of programs, per team and route, by moving averages.
    Memory is bounded: beyond the maximum, new pairs get the estimate of all together. */
class PauseEstimator
{
public:
    explicit PauseEstimator(std::chrono::milliseconds initialPause = std::chrono::seconds(5),
                            std::size_t pairLimit = 10000);

    /** Notes a pause that ended with another call. */
    void resumed(const QString &team, const QString &route, std::chrono::milliseconds pause);

    /** Notes a pause that was the program's last: it ended or expired. */
    void ended(const QString &team, const QString &route);

    /** Returns what to expect of the next pause. */
    [[nodiscard]] PauseEstimate estimate(const QString &team, const QString &route) const;

private:
    struct Average
    {
        double pauseMilliseconds = 0;
        double returnProbability = 1;
    };

    [[nodiscard]] Average &averageOf(const QString &team, const QString &route);

    std::size_t maximumPairs;
    Average overall;
    std::unordered_map<QString, Average> pairs;
};

} // namespace lacewingmux

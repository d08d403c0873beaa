#pragma once

#include <QHash>
#include <QString>

#include <chrono>
#include <unordered_map>

namespace lacewingmux {

/** The expected outcome of a pause that begins now. */
struct PauseEstimate
{
    std::chrono::milliseconds pause{0}; ///< mean of the pauses that ended with another call
    double returnProbability = 1;       ///< probability that the program makes another call
};

/** Estimates the pauses between the calls of a program by moving averages per team and route.
    Memory is bounded: once the maximum number of pairs is reached, new pairs use the average over
    all teams and routes. */
class PauseEstimator
{
public:
    explicit PauseEstimator(std::chrono::milliseconds initialPause = std::chrono::seconds(5),
                            std::size_t pairLimit = 10000);

    /** Records a pause that ended with another call. */
    void resumed(const QString &team, const QString &route, std::chrono::milliseconds pause);

    /** Records a pause that no call followed because the program ended or expired. */
    void ended(const QString &team, const QString &route);

    /** Returns the estimate for the next pause. */
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

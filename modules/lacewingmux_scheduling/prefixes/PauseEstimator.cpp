#include "lacewingmux_scheduling/prefixes/PauseEstimator.h"

namespace lacewingmux {

namespace {

constexpr double sampleWeight = 0.1; ///< weight of one pause in the moving averages

QString pairKey(const QString &team, const QString &route)
{
    return team + QChar(0) + route;
}

} // namespace

PauseEstimator::PauseEstimator(std::chrono::milliseconds initialPause, std::size_t pairLimit)
    : maximumPairs(pairLimit)
    , overall{static_cast<double>(initialPause.count()), 0.9}
{ }

void PauseEstimator::resumed(const QString &team, const QString &route,
                             std::chrono::milliseconds pause)
{
    const auto update = [pause](Average &average) {
        const auto sample = static_cast<double>(pause.count());
        average.pauseMilliseconds += sampleWeight * (sample - average.pauseMilliseconds);
        average.returnProbability += sampleWeight * (1 - average.returnProbability);
    };
    update(this->overall);
    update(this->averageOf(team, route));
}

void PauseEstimator::ended(const QString &team, const QString &route)
{
    this->overall.returnProbability -= sampleWeight * this->overall.returnProbability;
    Average &average = this->averageOf(team, route);
    average.returnProbability -= sampleWeight * average.returnProbability;
}

PauseEstimate PauseEstimator::estimate(const QString &team, const QString &route) const
{
    const auto found = this->pairs.find(pairKey(team, route));
    const Average &average = found == this->pairs.end() ? this->overall : found->second;
    return {std::chrono::milliseconds(static_cast<std::int64_t>(average.pauseMilliseconds)),
            average.returnProbability};
}

PauseEstimator::Average &PauseEstimator::averageOf(const QString &team, const QString &route)
{
    const QString key = pairKey(team, route);
    const auto found = this->pairs.find(key);
    if (found != this->pairs.end())
        return found->second;
    if (this->pairs.size() >= this->maximumPairs)
        return this->overall;
    return this->pairs.emplace(key, this->overall).first->second;
}

} // namespace lacewingmux

#include "lacewingmux_scheduling/admission/TurnDurations.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr double weight = 0.05; // minimum weight of one turn in the moving averages
// The estimate of the reading time falls quickly to shorter times and rises slowly to longer ones,
// which contain a wait.
constexpr double shorterReadingWeight = 0.3;
constexpr double longerReadingWeight = 0.005;
// Limits what an unusual number of tokens changes.
constexpr double minimumTokenRatio = 0.2;
constexpr double maximumTokenRatio = 5.0;

} // namespace

void TurnDurations::record(milliseconds untilFirstEvent, milliseconds writing,
                           std::int64_t maximumTokens)
{
    ++this->recorded;
    const double current = std::max(weight, 1.0 / static_cast<double>(this->recorded));
    const auto reading = static_cast<double>(untilFirstEvent.count());
    const double readingWeight = this->recorded == 1                   ? 1.0
                                 : reading < this->readingMilliseconds ? shorterReadingWeight
                                                                       : longerReadingWeight;
    this->readingMilliseconds += readingWeight * (reading - this->readingMilliseconds);
    this->writingMilliseconds +=
            current * (static_cast<double>(writing.count()) - this->writingMilliseconds);
    if (maximumTokens <= 0)
        return;
    const auto tokens = static_cast<double>(maximumTokens);
    this->maximumTokenMean =
            this->maximumTokenMean <= 0
                    ? tokens
                    : this->maximumTokenMean + current * (tokens - this->maximumTokenMean);
}

std::optional<milliseconds> TurnDurations::mean() const
{
    return this->expected(0);
}

std::optional<milliseconds> TurnDurations::expected(std::int64_t maximumTokens) const
{
    if (this->recorded == 0)
        return std::nullopt;
    double ratio = 1.0;
    if (maximumTokens > 0 && this->maximumTokenMean > 0)
        ratio = std::clamp(static_cast<double>(maximumTokens) / this->maximumTokenMean,
                           minimumTokenRatio, maximumTokenRatio);
    return milliseconds(static_cast<std::int64_t>(this->readingMilliseconds
                                                  + ratio * this->writingMilliseconds));
}

} // namespace lacewingmux

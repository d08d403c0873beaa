#include "lacewingmux_allowance/admission/OwnerEstimates.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

namespace {

/** The tokens assumed for a zone whose level is unknown, so that it is asked. */
constexpr double assumedTokens = 1e6;

/** A zone with fewer estimated tokens than this is not asked for a fraction of a token. */
constexpr double smallestFraction = 0.02;

/** The fill ratio below which the own zone counts as low. */
constexpr double lowFill = 0.5;

/** Another zone is preferred to a low own zone if its fill ratio is higher by at least this. */
constexpr double fillAdvantage = 0.1;

/** Below this own-zone burst, in tokens, tokens are requested from several zones at once. */
constexpr double smallBurst = 6;

/** The burst assumed for a zone whose level is unknown, in tokens. */
constexpr double assumedBurst = 1;

} // namespace

void OwnerEstimates::recordLevel(const QString &zone, const ZoneLevel &level, Time now)
{
    this->estimateByZone[zone] = {level, now, std::nullopt};
}

void OwnerEstimates::markUnavailable(const QString &zone, Time until)
{
    this->estimateByZone[zone].unavailableUntil = until;
}

std::vector<OwnerEstimates::PlannedRequest>
OwnerEstimates::planRequests(const std::vector<QString> &zonesOwnFirst, MicroTokens missing,
                             MicroTokens needed, Time now) const
{
    std::vector<QString> candidates;
    double totalTokens = 0;
    for (const QString &zone : zonesOwnFirst) {
        const double tokens = this->isAvailable(zone, now) ? this->tokensAt(zone, now) : 0;
        if (tokens < smallestFraction)
            continue;
        totalTokens += tokens;
        candidates.push_back(zone);
    }
    const double missingTokens = static_cast<double>(missing) / microTokensPerToken;
    if (candidates.empty() || totalTokens < missingTokens)
        return {};
    const QString &own = zonesOwnFirst.front();
    const bool ownAnswers = candidates.front() == own;
    if (ownAnswers && !this->estimateByZone.contains(own))
        return {{own, needed}};
    if (ownAnswers && this->burstOf(own) < smallBurst)
        return this->splitByBurst(candidates, needed);

    const auto fullest =
            std::max_element(candidates.begin(), candidates.end(),
                             [this, now](const QString &left, const QString &right) {
                                 return this->fillAt(left, now) < this->fillAt(right, now);
                             });
    const double ownFill = this->fillAt(own, now);
    const bool ownSuffices =
            ownAnswers && this->tokensAt(own, now) >= missingTokens
            && (ownFill >= lowFill || this->fillAt(*fullest, now) < ownFill + fillAdvantage);
    return {{ownSuffices ? own : *fullest, needed}};
}

bool OwnerEstimates::hasToken(const QString &zone, Time now) const
{
    return this->isAvailable(zone, now) && this->tokensAt(zone, now) >= 1;
}

std::vector<OwnerEstimates::PlannedRequest>
OwnerEstimates::splitByBurst(const std::vector<QString> &candidates, MicroTokens needed) const
{
    double totalBurst = 0;
    for (const QString &zone : candidates)
        totalBurst += this->burstOf(zone);
    std::vector<PlannedRequest> plannedRequests;
    for (const QString &zone : candidates) {
        const double fraction = this->burstOf(zone) / totalBurst;
        plannedRequests.push_back({zone, static_cast<MicroTokens>(std::ceil(fraction * needed))});
    }
    return plannedRequests;
}

std::optional<std::chrono::milliseconds>
OwnerEstimates::untilTokens(const std::vector<QString> &zones, double missingTokens, Time now) const
{
    double tokens = 0;
    double tokensPerSecond = 0;
    bool isKnown = false;
    for (const QString &zone : zones) {
        const auto found = this->estimateByZone.find(zone);
        if (found == this->estimateByZone.end() || !found->second.level
            || !this->isAvailable(zone, now))
            continue;
        isKnown = true;
        tokens += this->tokensAt(zone, now);
        tokensPerSecond += found->second.level->tokensPerSecond;
    }
    if (!isKnown)
        return std::nullopt;
    const double lacking = std::max(0.0, missingTokens - tokens);
    if (lacking >= tokensPerSecond * std::chrono::duration<double>(maxWait).count())
        return maxWait;
    return std::chrono::milliseconds(
            std::max<std::int64_t>(1, std::llround(std::ceil(lacking / tokensPerSecond * 1000))));
}

bool OwnerEstimates::isAvailable(const QString &zone, Time now) const
{
    const auto found = this->estimateByZone.find(zone);
    return found == this->estimateByZone.end() || !found->second.unavailableUntil
           || *found->second.unavailableUntil <= now;
}

double OwnerEstimates::tokensAt(const QString &zone, Time now) const
{
    const auto found = this->estimateByZone.find(zone);
    if (found == this->estimateByZone.end() || !found->second.level)
        return assumedTokens;
    const ZoneLevel &level = *found->second.level;
    const double seconds = std::chrono::duration<double>(now - found->second.recordedAt).count();
    return std::min(level.burstTokens, level.tokens + level.tokensPerSecond * seconds);
}

double OwnerEstimates::fillAt(const QString &zone, Time now) const
{
    const auto found = this->estimateByZone.find(zone);
    if (found == this->estimateByZone.end() || !found->second.level)
        return 1;
    const double burst = found->second.level->burstTokens;
    return burst > 0 ? this->tokensAt(zone, now) / burst : 0;
}

double OwnerEstimates::burstOf(const QString &zone) const
{
    const auto found = this->estimateByZone.find(zone);
    return found == this->estimateByZone.end() || !found->second.level
                   ? assumedBurst
                   : found->second.level->burstTokens;
}

} // namespace lacewingmux

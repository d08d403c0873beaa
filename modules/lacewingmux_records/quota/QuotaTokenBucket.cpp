#include "lacewingmux_records/quota/QuotaTokenBucket.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lacewingmux {

namespace {

// Fractions of the burst, chosen so that the floor changes rarely: each change is a disk write.
constexpr double newFloorDistance = 0.45; // distance of a new floor below the held tokens
constexpr double lowerThreshold = 0.15;   // distance at which the floor is lowered
constexpr double raiseThreshold = 0.75;   // distance at which the floor is raised

constexpr double roundingError = 1e-6; // far above that of a sum of a few tokens

// Three intervals in which the share is normally set again.
constexpr std::chrono::milliseconds maximumAccrualGap{300};

} // namespace

QuotaTokenBucket::QuotaTokenBucket(double unspentTokens, SteadyTime now)
    : tokens(unspentTokens)
    , floor(unspentTokens)
    , updated(now)
{ }

void QuotaTokenBucket::setShare(double requestsPerSecond, double burst, SteadyTime now)
{
    if (this->shareSetAt && now - *this->shareSetAt > maximumAccrualGap)
        this->updated = now;
    else if (this->shareSetAt)
        this->refill(now);
    this->shareSetAt = now;
    this->rate = requestsPerSecond;
    // At least one token, as a small share of a small burst would otherwise never grant any.
    this->capacity = std::max(1.0, burst);
    this->refill(now); // includes tokens accrued before the first request
}

int QuotaTokenBucket::take(int wanted, double reserve, SteadyTime now)
{
    this->refill(now);
    const double kept = std::max(this->floor, this->tokensLeftBy(reserve));
    const double free = std::max(0.0, this->tokens - kept);
    const int taken = std::min(wanted, static_cast<int>(free + roundingError));
    this->tokens -= taken;
    return taken;
}

std::chrono::milliseconds QuotaTokenBucket::untilNext(double reserve, SteadyTime now) const
{
    constexpr double millisecondsPerSecond = 1000.0;
    constexpr std::chrono::milliseconds maximumWait{5000};
    if (this->rate <= 0)
        return maximumWait;
    const std::chrono::duration<double> passed = now - this->updated;
    const double held = this->tokens + passed.count() * this->rate;
    const double missing = std::max(0.0, 1.0 + this->tokensLeftBy(reserve) - held);
    const auto wait = std::chrono::milliseconds(
            static_cast<std::int64_t>(std::ceil(missing / this->rate * millisecondsPerSecond)));
    return std::min(maximumWait, wait);
}

std::optional<double> QuotaTokenBucket::lowerFloor(SteadyTime now)
{
    this->refill(now);
    const bool limits = this->tokens - this->floor < lowerThreshold * this->capacity;
    if (this->isLowering || this->floor <= 0 || !limits)
        return std::nullopt;
    this->isLowering = true;
    return std::max(0.0, this->tokens - newFloorDistance * this->capacity);
}

std::optional<double> QuotaTokenBucket::raiseFloor(SteadyTime now)
{
    this->refill(now);
    if (this->isLowering || this->tokens - this->floor < raiseThreshold * this->capacity)
        return std::nullopt;
    // A full bucket must have a whole token above the floor.
    const double highest = this->capacity - 1.0;
    this->floor = std::clamp(this->tokens - newFloorDistance * this->capacity, 0.0, highest);
    return this->floor;
}

bool QuotaTokenBucket::discard(SteadyTime now)
{
    const bool hadFloor = this->floor > 0;
    this->tokens = 0;
    this->floor = 0;
    this->isLowering = false;
    this->updated = now;
    return hadFloor;
}

void QuotaTokenBucket::setFloor(double tokensKept)
{
    if (!std::exchange(this->isLowering, false))
        return; // the tokens were discarded meanwhile
    this->floor = tokensKept;
}

double QuotaTokenBucket::tokensLeftBy(double reserve) const
{
    // A full bucket always admits one request, however small the burst is.
    return std::min(reserve * this->capacity, this->capacity - 1.0);
}

void QuotaTokenBucket::refill(SteadyTime now)
{
    const std::chrono::duration<double> passed = now - this->updated;
    this->updated = now;
    this->tokens =
            std::min(this->capacity, this->tokens + std::max(0.0, passed.count()) * this->rate);
}

} // namespace lacewingmux

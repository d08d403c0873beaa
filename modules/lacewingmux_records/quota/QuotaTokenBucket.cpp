#include "lacewingmux_records/quota/QuotaTokenBucket.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

namespace {

// Fractions of the burst, chosen so that the floor changes rarely: each change is a disk write.
constexpr double newFloorDistance = 0.45; // distance of a new floor below the held tokens
constexpr double lowerThreshold = 0.15;   // distance at which the floor is lowered
constexpr double raiseThreshold = 0.75;   // distance at which the floor is raised

} // namespace

QuotaTokenBucket::QuotaTokenBucket(double unspentTokens, SteadyTime now)
    : tokens(unspentTokens)
    , floor(unspentTokens)
    , updated(now)
{ }

void QuotaTokenBucket::setShare(double requestsPerSecond, double burst, SteadyTime now)
{
    if (this->rate > 0)
        this->refill(now);
    this->rate = requestsPerSecond;
    // At least one token, as a small share of a small burst would otherwise never grant any.
    this->capacity = std::max(1.0, burst);
    this->refill(now); // includes tokens accrued before the first request
}

int QuotaTokenBucket::take(int wanted, double reserve, SteadyTime now)
{
    this->refill(now);
    const double kept = std::max(this->floor, reserve * this->capacity);
    const double free = std::max(0.0, this->tokens - kept);
    const int taken = std::min(wanted, static_cast<int>(free));
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
    const double missing = std::max(0.0, 1.0 + reserve * this->capacity - held);
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
    this->floor = std::max(0.0, this->tokens - newFloorDistance * this->capacity);
    return this->floor;
}

void QuotaTokenBucket::setFloor(double tokensKept)
{
    this->floor = tokensKept;
    this->isLowering = false;
}

void QuotaTokenBucket::refill(SteadyTime now)
{
    const std::chrono::duration<double> passed = now - this->updated;
    this->updated = now;
    this->tokens =
            std::min(this->capacity, this->tokens + std::max(0.0, passed.count()) * this->rate);
}

} // namespace lacewingmux

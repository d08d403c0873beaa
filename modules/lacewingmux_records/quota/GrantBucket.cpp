#include "lacewingmux_records/quota/GrantBucket.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

namespace {

// Parts of the burst. The floor moves rarely: each move is a write to the disk.
constexpr double floorDistance = 0.45; // of a new floor below the tokens held
constexpr double bindingPart = 0.15;   // above the floor, where it is lowered
constexpr double wideGap = 0.75;       // above the floor, where it is raised

} // namespace

GrantBucket::GrantBucket(double unspentTokens, SteadyTime now)
    : tokens(unspentTokens)
    , floor(unspentTokens)
    , updated(now)
{ }

void GrantBucket::setShare(double requestsPerSecond, double burst, SteadyTime now)
{
    if (this->rate > 0)
        this->refill(now);
    this->rate = requestsPerSecond;
    // At least one token, or a small part of a small burst would never let anything through.
    this->capacity = std::max(1.0, burst);
    this->refill(now); // what has accrued before anybody asked counts too
}

int GrantBucket::take(int wanted, double reserve, SteadyTime now)
{
    this->refill(now);
    const double kept = std::max(this->floor, reserve * this->capacity);
    const double free = std::max(0.0, this->tokens - kept);
    const int taken = std::min(wanted, static_cast<int>(free));
    this->tokens -= taken;
    return taken;
}

std::chrono::milliseconds GrantBucket::untilNext(double reserve, SteadyTime now) const
{
    constexpr double millisecondsPerSecond = 1000.0;
    constexpr std::chrono::milliseconds longest{5000};
    if (this->rate <= 0)
        return longest;
    const std::chrono::duration<double> passed = now - this->updated;
    const double held = this->tokens + passed.count() * this->rate;
    const double missing = std::max(0.0, 1.0 + reserve * this->capacity - held);
    const auto wait = std::chrono::milliseconds(
            static_cast<std::int64_t>(std::ceil(missing / this->rate * millisecondsPerSecond)));
    return std::min(longest, wait);
}

std::optional<double> GrantBucket::lowerFloor(SteadyTime now)
{
    this->refill(now);
    const bool binds = this->tokens - this->floor < bindingPart * this->capacity;
    if (this->lowering || this->floor <= 0 || !binds)
        return std::nullopt;
    this->lowering = true;
    return std::max(0.0, this->tokens - floorDistance * this->capacity);
}

std::optional<double> GrantBucket::raiseFloor(SteadyTime now)
{
    this->refill(now);
    if (this->lowering || this->tokens - this->floor < wideGap * this->capacity)
        return std::nullopt;
    this->floor = std::max(0.0, this->tokens - floorDistance * this->capacity);
    return this->floor;
}

void GrantBucket::setFloor(double tokensKept)
{
    this->floor = tokensKept;
    this->lowering = false;
}

void GrantBucket::refill(SteadyTime now)
{
    const std::chrono::duration<double> passed = now - this->updated;
    this->updated = now;
    this->tokens =
            std::min(this->capacity, this->tokens + std::max(0.0, passed.count()) * this->rate);
}

} // namespace lacewingmux

#include "lacewingmux_records/quota/GrantBucket.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

GrantBucket::GrantBucket(SteadyTime now)
    : updated(now)
{ }

void GrantBucket::setShare(double requestsPerSecond, double burst, SteadyTime now)
{
    this->refill(now);
    this->rate = requestsPerSecond;
    // At least one token, or a small part of a small burst would never let anything through.
    this->capacity = std::max(1.0, burst);
    this->tokens = std::min(this->tokens, this->capacity);
}

int GrantBucket::take(int wanted, double reserve, SteadyTime now)
{
    this->refill(now);
    const double free = std::max(0.0, this->tokens - reserve * this->capacity);
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

void GrantBucket::refill(SteadyTime now)
{
    const std::chrono::duration<double> passed = now - this->updated;
    this->updated = now;
    this->tokens =
            std::min(this->capacity, this->tokens + std::max(0.0, passed.count()) * this->rate);
}

} // namespace lacewingmux

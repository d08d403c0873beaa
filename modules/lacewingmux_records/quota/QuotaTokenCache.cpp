#include "lacewingmux_records/quota/QuotaTokenCache.h"

#include <cmath>

namespace lacewingmux {

namespace {

constexpr std::chrono::duration<double> demandDecayTime{0.5};
constexpr std::chrono::duration<double> prefetchTime{0.12}; // several round trips to a records VM

} // namespace

void QuotaTokenCache::put(int tokens, SteadyTime now, std::chrono::milliseconds life)
{
    if (tokens > 0)
        this->batches.push_back({tokens, now + life});
}

bool QuotaTokenCache::take(SteadyTime now)
{
    this->dropExpired(now);
    if (this->batches.empty())
        return false;
    if (--this->batches.front().tokens == 0)
        this->batches.pop_front();
    return true;
}

void QuotaTokenCache::recordDemand(SteadyTime now)
{
    const std::chrono::duration<double> passed = now - this->demandUpdated;
    this->demandPerSecond = this->demandPerSecond * std::exp(-passed / demandDecayTime)
                            + 1.0 / demandDecayTime.count();
    this->demandUpdated = now;
}

int QuotaTokenCache::wanted(int waiting, SteadyTime now)
{
    this->dropExpired(now);
    const std::chrono::duration<double> passed = now - this->demandUpdated;
    const double expectedDemand =
            this->demandPerSecond * std::exp(-passed / demandDecayTime) * prefetchTime.count();
    const int target = waiting + static_cast<int>(std::lround(expectedDemand));
    const int missing = target - this->held();
    // Tokens are requested only when less than half of the target is held, so that not every
    // admitted request causes one.
    return waiting > 0 || missing * 2 > target ? std::max(0, missing) : 0;
}

void QuotaTokenCache::dropExpired(SteadyTime now)
{
    while (!this->batches.empty() && this->batches.front().expires <= now)
        this->batches.pop_front();
}

int QuotaTokenCache::held() const
{
    int tokens = 0;
    for (const Batch &batch : this->batches)
        tokens += batch.tokens;
    return tokens;
}

} // namespace lacewingmux

#include "lacewingmux_records/quota/QuotaPocket.h"

#include <cmath>

namespace lacewingmux {

namespace {

constexpr std::chrono::duration<double> demandMemory{0.5};
constexpr std::chrono::duration<double> demandAhead{0.12}; // several round trips to a records VM

} // namespace

void QuotaPocket::put(int tokens, SteadyTime now)
{
    if (tokens > 0)
        this->batches.push_back({tokens, now + tokenLife});
}

bool QuotaPocket::take(SteadyTime now)
{
    this->dropLapsed(now);
    if (this->batches.empty())
        return false;
    if (--this->batches.front().tokens == 0)
        this->batches.pop_front();
    return true;
}

void QuotaPocket::noteDemand(SteadyTime now)
{
    const std::chrono::duration<double> passed = now - this->demandKnown;
    this->demandPerSecond =
            this->demandPerSecond * std::exp(-passed / demandMemory) + 1.0 / demandMemory.count();
    this->demandKnown = now;
}

int QuotaPocket::wanted(int waiting, SteadyTime now)
{
    this->dropLapsed(now);
    const std::chrono::duration<double> passed = now - this->demandKnown;
    const double ahead =
            this->demandPerSecond * std::exp(-passed / demandMemory) * demandAhead.count();
    const int target = waiting + static_cast<int>(std::lround(ahead));
    const int missing = target - this->held();
    // Half of what is needed is enough to wait for the next request, or every one would ask.
    return waiting > 0 || missing * 2 > target ? std::max(0, missing) : 0;
}

void QuotaPocket::dropLapsed(SteadyTime now)
{
    while (!this->batches.empty() && this->batches.front().lapses <= now)
        this->batches.pop_front();
}

int QuotaPocket::held() const
{
    int tokens = 0;
    for (const Batch &batch : this->batches)
        tokens += batch.tokens;
    return tokens;
}

} // namespace lacewingmux

#include "lacewingmux_gateway/replicas/PromptPopularity.h"

namespace lacewingmux {

namespace {

constexpr std::chrono::seconds decayInterval{10};
constexpr double decayFactor = 0.5;
constexpr double forgottenBelow = 0.2; // turns; bounds the memory
// Assumed turns with other parts, so that the first turns of a VM do not look like all traffic.
constexpr double assumedOtherTurns = 8;

} // namespace

void PromptPopularity::record(std::uint64_t part, SteadyTime now)
{
    this->decay(now);
    this->turns[part] += 1;
    this->total += 1;
}

double PromptPopularity::count(std::uint64_t part) const
{
    const auto known = this->turns.find(part);
    return known == this->turns.end() ? 0 : known->second;
}

double PromptPopularity::fraction(std::uint64_t part) const
{
    return (this->count(part) + 1) / (this->total + 1 + assumedOtherTurns);
}

void PromptPopularity::decay(SteadyTime now)
{
    if (now - this->decayedAt < decayInterval)
        return;
    this->decayedAt = now;
    this->total *= decayFactor;
    for (auto &[part, count] : this->turns)
        count *= decayFactor;
    std::erase_if(this->turns, [](const auto &entry) { return entry.second < forgottenBelow; });
}

} // namespace lacewingmux

#include "lacewingmux_allowance/shares/DemandDrivenShares.h"

#include "lacewingmux_allowance/shares/ShareCounters.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

namespace {

/** A zone reports a need when its demand exceeds this fraction of its share. */
constexpr double needUtilization = 0.8;

/** The multiple of its demand that a donor keeps and that a zone in need is filled up to. */
constexpr double headroom = 1.5;

/** The fraction of an equal share that a zone keeps without demand, to serve new callers. */
constexpr double minimumKeptFraction = 0.25;

/**
    The minimum fraction of the item in a transfer. A smaller transfer is not worth a store write,
    nor is one of less than one token of burst.
*/
constexpr double smallestTransfer = 0.05;

double deficitOf(const ZoneNeed &need)
{
    return need.demandParts * headroom - static_cast<double>(need.heldParts);
}

} // namespace

bool DemandDrivenShares::hasNeed(double demandParts, std::uint64_t heldParts) noexcept
{
    return demandParts > needUtilization * static_cast<double>(heldParts);
}

std::optional<ShareTransfer> DemandDrivenShares::decide(const RebalancingState &situation)
{
    if (auto transfer = consolidate(situation))
        return transfer;
    if (situation.needs.empty() || situation.zones.empty())
        return std::nullopt;
    const double equalShare = static_cast<double>(partsPerItem) / situation.zones.size();
    const double kept =
            std::max(situation.ownDemandParts * headroom, equalShare * minimumKeptFraction);
    const double spare = static_cast<double>(situation.ownParts) - kept;
    const auto neediest = std::max_element(situation.needs.begin(), situation.needs.end(),
                                           [](const ZoneNeed &left, const ZoneNeed &right) {
                                               return deficitOf(left) < deficitOf(right);
                                           });
    const double amount = std::min(spare / 2, deficitOf(*neediest));
    const double tokenPart = situation.burstTokens > 0 ? 1 / situation.burstTokens : 0;
    if (amount < std::max(smallestTransfer, tokenPart) * partsPerItem)
        return std::nullopt;
    return ShareTransfer{neediest->zone, static_cast<std::uint64_t>(std::floor(amount))};
}

std::optional<ShareTransfer> DemandDrivenShares::consolidate(const RebalancingState &situation)
{
    // A share with a burst of less than one token can never grant a whole one, so it goes to the
    // largest holder.
    const double ownTokens =
            situation.burstTokens * static_cast<double>(situation.ownParts) / partsPerItem;
    if (situation.burstTokens <= 0 || situation.ownParts == 0 || ownTokens >= 1)
        return std::nullopt;
    const auto largest = std::max_element(situation.zones.begin(), situation.zones.end(),
                                          [](const ZoneParts &left, const ZoneParts &right) {
                                              return left.parts != right.parts
                                                             ? left.parts < right.parts
                                                             : right.zone < left.zone;
                                          });
    if (largest == situation.zones.end() || largest->zone == situation.ownZone)
        return std::nullopt;
    return ShareTransfer{largest->zone, situation.ownParts};
}

} // namespace lacewingmux

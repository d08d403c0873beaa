#include "lacewingmux_allowance/shares/ShareMovement.h"

#include "lacewingmux_allowance/shares/ShareCounters.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

namespace {

/** A zone is in need from this part of its share on. */
constexpr double needyUse = 0.8;

/** A zone keeps, and a zone in need asks for, this multiple of its demand. */
constexpr double headroom = 1.5;

/** A zone keeps this part of an equal share even without demand, for callers that come anew. */
constexpr double keptPartOfEqualShare = 0.25;

/** Gifts below this part of the whole, or below a token of burst, are not worth a write. */
constexpr double smallestGift = 0.05;

double lackOf(const ZoneNeed &need)
{
    return need.demandParts * headroom - static_cast<double>(need.heldParts);
}

} // namespace

bool ShareMovement::isNeedy(double demandParts, std::uint64_t heldParts) noexcept
{
    return demandParts > needyUse * static_cast<double>(heldParts);
}

std::optional<ShareGift> ShareMovement::decide(const ShareSituation &situation)
{
    if (auto gift = consolidate(situation))
        return gift;
    if (situation.needs.empty() || situation.zones.empty())
        return std::nullopt;
    const double equalShare = static_cast<double>(partsPerItem) / situation.zones.size();
    const double kept =
            std::max(situation.ownDemandParts * headroom, equalShare * keptPartOfEqualShare);
    const double spare = static_cast<double>(situation.ownParts) - kept;
    const auto neediest = std::max_element(situation.needs.begin(), situation.needs.end(),
                                           [](const ZoneNeed &left, const ZoneNeed &right) {
                                               return lackOf(left) < lackOf(right);
                                           });
    const double amount = std::min(spare / 2, lackOf(*neediest));
    const double tokenPart = situation.burstTokens > 0 ? 1 / situation.burstTokens : 0;
    if (amount < std::max(smallestGift, tokenPart) * partsPerItem)
        return std::nullopt;
    return ShareGift{neediest->zone, static_cast<std::uint64_t>(std::floor(amount))};
}

std::optional<ShareGift> ShareMovement::consolidate(const ShareSituation &situation)
{
    // A share of less than one token of burst can never grant any: it goes to the largest holder.
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
    return ShareGift{largest->zone, situation.ownParts};
}

} // namespace lacewingmux

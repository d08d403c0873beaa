#include "lacewingmux_allowance/admission/OwnerHints.h"

#include <algorithm>

namespace lacewingmux {

void OwnerHints::noteEmpty(const QString &zone, Time until)
{
    this->hintByZone[zone] = {until, std::nullopt};
}

void OwnerHints::noteUnavailable(const QString &zone, Time until)
{
    this->hintByZone[zone] = {std::nullopt, until};
}

void OwnerHints::noteGranted(const QString &zone)
{
    this->hintByZone.erase(zone);
}

std::optional<QString> OwnerHints::choose(const std::vector<QString> &zonesInOrder, Time now) const
{
    const auto isWorthAsking = [this, now](const QString &zone) {
        const auto found = this->hintByZone.find(zone);
        if (found == this->hintByZone.end())
            return true;
        const Hint &hint = found->second;
        return !(hint.emptyUntil && *hint.emptyUntil > now)
               && !(hint.unavailableUntil && *hint.unavailableUntil > now);
    };
    const auto chosen = std::find_if(zonesInOrder.begin(), zonesInOrder.end(), isWorthAsking);
    return chosen == zonesInOrder.end() ? std::nullopt : std::optional(*chosen);
}

bool OwnerHints::isEmpty(const QString &zone, Time now) const
{
    const auto found = this->hintByZone.find(zone);
    return found != this->hintByZone.end() && found->second.emptyUntil
           && *found->second.emptyUntil > now;
}

std::optional<std::chrono::microseconds> OwnerHints::untilToken(Time now) const
{
    std::optional<std::chrono::microseconds> shortest;
    for (const auto &[zone, hint] : this->hintByZone) {
        if (!hint.emptyUntil || *hint.emptyUntil <= now)
            continue;
        const auto wait = std::chrono::ceil<std::chrono::microseconds>(*hint.emptyUntil - now);
        shortest = shortest ? std::min(*shortest, wait) : wait;
    }
    return shortest;
}

} // namespace lacewingmux

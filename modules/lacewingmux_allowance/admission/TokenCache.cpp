#include "lacewingmux_allowance/admission/TokenCache.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

void TokenCache::add(const QString &zone, std::uint64_t grantId, MicroTokens amount, Time expiresAt,
                     Time now)
{
    if (amount == 0 || expiresAt <= now)
        return;
    const auto position = std::upper_bound(
            this->grants.begin(), this->grants.end(), expiresAt,
            [](Time moment, const Grant &grant) { return moment < grant.expiresAt; });
    this->grants.insert(position, {zone, grantId, amount, expiresAt});
}

bool TokenCache::take(Time now)
{
    if (this->available(now) < microTokensPerToken)
        return false;
    for (MicroTokens missing = microTokensPerToken; missing > 0;) {
        Grant &grant = this->grants.front();
        const MicroTokens taken = std::min(missing, grant.remaining);
        grant.remaining -= taken;
        missing -= taken;
        if (grant.remaining > 0)
            continue;
        this->settlementsByZone[grant.zone].push_back({grant.id, 0});
        this->grants.pop_front();
    }
    return true;
}

MicroTokens TokenCache::available(Time now)
{
    this->dropExpired(now);
    MicroTokens amount = 0;
    for (const Grant &grant : this->grants)
        amount += grant.remaining;
    return amount;
}

void TokenCache::returnExpiring(Time before, Time now)
{
    this->dropExpired(now);
    while (!this->grants.empty() && this->grants.front().expiresAt < before) {
        const Grant &grant = this->grants.front();
        this->settlementsByZone[grant.zone].push_back({grant.id, grant.remaining});
        this->grants.pop_front();
    }
}

std::vector<Settlement> TokenCache::takeSettlements(const QString &zone)
{
    const auto found = this->settlementsByZone.find(zone);
    if (found == this->settlementsByZone.end())
        return {};
    std::vector<Settlement> settlements = std::move(found->second);
    this->settlementsByZone.erase(found);
    return settlements;
}

std::vector<QString> TokenCache::zonesWithSettlements() const
{
    std::vector<QString> zones;
    for (const auto &[zone, settlements] : this->settlementsByZone)
        zones.push_back(zone);
    return zones;
}

void TokenCache::dropExpired(Time now)
{
    while (!this->grants.empty() && this->grants.front().expiresAt <= now)
        this->grants.pop_front();
}

} // namespace lacewingmux

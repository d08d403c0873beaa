#include "lacewingmux_allowance/admission/TokenPocket.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

void TokenPocket::add(const QString &zone, std::uint64_t grantId, std::uint32_t tokens,
                      Time expiresAt, Time now)
{
    if (tokens == 0 || expiresAt <= now)
        return;
    const auto position = std::upper_bound(
            this->grants.begin(), this->grants.end(), expiresAt,
            [](Time moment, const Grant &grant) { return moment < grant.expiresAt; });
    this->grants.insert(position, {zone, grantId, tokens, expiresAt});
}

bool TokenPocket::take(Time now)
{
    this->dropExpired(now);
    if (this->grants.empty())
        return false;
    Grant &grant = this->grants.front();
    --grant.left;
    if (grant.left == 0) {
        this->settlementsByZone[grant.zone].push_back({grant.id, 0});
        this->grants.pop_front();
    }
    return true;
}

std::uint32_t TokenPocket::available(Time now)
{
    this->dropExpired(now);
    std::uint32_t tokens = 0;
    for (const Grant &grant : this->grants)
        tokens += grant.left;
    return tokens;
}

void TokenPocket::giveBackExpiring(Time before, Time now)
{
    this->dropExpired(now);
    while (!this->grants.empty() && this->grants.front().expiresAt < before) {
        const Grant &grant = this->grants.front();
        this->settlementsByZone[grant.zone].push_back({grant.id, grant.left});
        this->grants.pop_front();
    }
}

std::vector<Settlement> TokenPocket::takeSettlements(const QString &zone)
{
    const auto found = this->settlementsByZone.find(zone);
    if (found == this->settlementsByZone.end())
        return {};
    std::vector<Settlement> settlements = std::move(found->second);
    this->settlementsByZone.erase(found);
    return settlements;
}

std::vector<QString> TokenPocket::zonesOwedTokens() const
{
    std::vector<QString> zones;
    for (const auto &[zone, settlements] : this->settlementsByZone) {
        if (std::any_of(settlements.begin(), settlements.end(),
                        [](const Settlement &settlement) { return settlement.unused > 0; }))
            zones.push_back(zone);
    }
    return zones;
}

void TokenPocket::dropExpired(Time now)
{
    while (!this->grants.empty() && this->grants.front().expiresAt <= now)
        this->grants.pop_front();
}

} // namespace lacewingmux

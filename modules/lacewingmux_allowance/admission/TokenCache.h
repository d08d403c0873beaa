#pragma once

#include "lacewingmux_allowance/messages/GrantMessages.h"

#include <QString>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace lacewingmux {

/**
    The tokens of one team that a front holds, granted by owners in one or more zones.

    Tokens expire by the front's own clock, counted from before their request was sent. A
    settlement is due to the owner of each grant that is used up or returned before it expires.
    The class reads no clock; the time is passed in.
*/
class TokenCache
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Adds a grant of the zone's owner, or ignores it when its tokens have expired already. */
    void add(const QString &zone, std::uint64_t grantId, MicroTokens amount, Time expiresAt,
             Time now);

    /** Takes one whole token, combined from several grants if needed; returns false if short. */
    [[nodiscard]] bool take(Time now);

    /** Returns the tokens that have not expired. */
    [[nodiscard]] MicroTokens available(Time now);

    /** Removes the grants that expire before the given time, for return to their owners. */
    void returnExpiring(Time before, Time now);

    /** Removes and returns the settlements that are due to the zone's owner. */
    [[nodiscard]] std::vector<Settlement> takeSettlements(const QString &zone);

    /** Returns the zones to whose owners settlements are due. */
    [[nodiscard]] std::vector<QString> zonesWithSettlements() const;

private:
    struct Grant
    {
        QString zone;
        std::uint64_t id;
        MicroTokens remaining;
        Time expiresAt;
    };

    void dropExpired(Time now);

    std::deque<Grant> grants; ///< by time of expiry
    std::map<QString, std::vector<Settlement>> settlementsByZone;
};

} // namespace lacewingmux

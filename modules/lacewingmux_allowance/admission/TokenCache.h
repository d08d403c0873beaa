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
    The tokens of one team that a front holds, from owners in one or more zones.

    Tokens expire by the front's own clock, counted from before their request was sent. Grants
    that are used up, or given back while they are still valid, are reported to their owners.
    Pure: time is passed in.
*/
class TokenCache
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Adds a grant of the zone's owner; tokens that have expired already are dropped. */
    void add(const QString &zone, std::uint64_t grantId, MicroTokens amount, Time expiresAt,
             Time now);

    /** Takes one whole token, of several grants if need be; returns false when there is none. */
    [[nodiscard]] bool take(Time now);

    /** Returns what is valid. */
    [[nodiscard]] MicroTokens available(Time now);

    /** Gives up the grants that expire before the moment, so that their tokens can be put back. */
    void returnExpiring(Time before, Time now);

    /** Returns what is to be reported to the zone's owner, and forgets it. */
    [[nodiscard]] std::vector<Settlement> takeSettlements(const QString &zone);

    /** Returns the zones whose owners are owed a report. */
    [[nodiscard]] std::vector<QString> zonesWithSettlements() const;

private:
    struct Grant
    {
        QString zone;
        std::uint64_t id;
        MicroTokens left;
        Time expiresAt;
    };

    void dropExpired(Time now);

    std::deque<Grant> grants; ///< in the order in which they expire
    std::map<QString, std::vector<Settlement>> settlementsByZone;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_allowance/messages/GrantMessages.h"

#include <QString>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    Estimates the tokens that the owners of one team's allowance hold in each zone, from their last
    replies and the time elapsed since. Selects the owners to request tokens from next. It reads
    no clock; the time is passed in.
*/
class OwnerEstimates
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Records the level that the zone's owner reported. */
    void recordLevel(const QString &zone, const ZoneLevel &level, Time now);

    /** Excludes the zone's owner from requests until the given time. */
    void markUnavailable(const QString &zone, Time until);

    /** A request for tokens to be sent to one zone's owner. */
    struct PlannedRequest
    {
        QString zone;
        MicroTokens amount = 0;
    };

    /**
        Returns the requests to send at the same time for the needed amount. Returns none when the
        estimated total of all zones is less than the missing part of the next token.

        Requests go to the own zone alone while its bucket is well filled, otherwise to the zone
        with the highest fill ratio. When the own zone's burst is small, the amount is split in
        proportion to the zones' bursts. Otherwise a full zone would lose the tokens it accrues
        while another is empty; with the split the zones fill and drain as one bucket.
    */
    [[nodiscard]] std::vector<PlannedRequest>
    planRequests(const std::vector<QString> &zonesOwnFirst, MicroTokens missing, MicroTokens needed,
                 Time now) const;

    /** Returns whether the zone is available and is estimated to hold at least one whole token. */
    [[nodiscard]] bool hasToken(const QString &zone, Time now) const;

    /**
        Returns the estimated time until the zones together have the missing tokens, limited to
        maxWait, or nothing when no available owner's level is known.
    */
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    untilTokens(const std::vector<QString> &zones, double missingTokens, Time now) const;

    /** The upper limit of the wait that untilTokens() returns. */
    static constexpr std::chrono::milliseconds maxWait{5000};

private:
    struct Estimate
    {
        std::optional<ZoneLevel> level;
        Time recordedAt;
        std::optional<Time> unavailableUntil;
    };

    [[nodiscard]] bool isAvailable(const QString &zone, Time now) const;
    [[nodiscard]] double tokensAt(const QString &zone, Time now) const;
    [[nodiscard]] double fillAt(const QString &zone, Time now) const;
    [[nodiscard]] double burstOf(const QString &zone) const;
    [[nodiscard]] std::vector<PlannedRequest> splitByBurst(const std::vector<QString> &candidates,
                                                           MicroTokens needed) const;

    std::map<QString, Estimate> estimateByZone;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_allowance/messages/GrantMessages.h"

#include <QString>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    What a front believes that the owners of one team's allowance hold in the zones, by their last
    answers and the time since. Decides whom to ask next. Pure: time is passed in.
*/
class OwnerEstimates
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Notes what the zone's owner answered. */
    void recordLevel(const QString &zone, const ZoneLevel &level, Time now);

    /** Notes that the zone's owner isn't worth asking until the moment. */
    void markUnavailable(const QString &zone, Time until);

    /** What to ask of one zone's owner. */
    struct PlannedRequest
    {
        QString zone;
        MicroTokens amount = 0;
    };

    /**
        Returns whom to ask for the amount needed, at once; nothing when the zones together have
        less than the missing part of the next token, as far as is known.

        The own zone is asked alone while it is well filled, else the fullest. A small burst is
        asked for in the proportion of the zones' bursts, so that no zone stays full, and loses
        what it accrues, while another is drained: the zones then fill and drain as one bucket.
    */
    [[nodiscard]] std::vector<PlannedRequest>
    planRequests(const std::vector<QString> &zonesOwnFirst, MicroTokens missing, MicroTokens needed,
                 Time now) const;

    /** Tells whether the zone is worth asking for a whole token. */
    [[nodiscard]] bool hasToken(const QString &zone, Time now) const;

    /**
        Returns how long until the zones together have the missing tokens, at most longestWait; or
        nothing when no owner's level is known.
    */
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    untilTokens(const std::vector<QString> &zones, double missingTokens, Time now) const;

    /** The longest wait that is reported. */
    static constexpr std::chrono::milliseconds longestWait{5000};

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

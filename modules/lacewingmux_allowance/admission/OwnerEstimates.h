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
    void noteLevel(const QString &zone, const ZoneLevel &level, Time now);

    /** Notes that the zone's owner isn't worth asking until the moment. */
    void noteUnavailable(const QString &zone, Time until);

    /**
        Returns the zone to ask for tokens that are missing, or nothing when the zones together
        have less than that, as far as is known. The own zone is asked first unless it runs low
        and another is fuller; a zone that never answered counts as full.
    */
    [[nodiscard]] std::optional<QString> choose(const std::vector<QString> &zonesOwnFirst,
                                                double missingTokens, Time now) const;

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
        Time notedAt;
        std::optional<Time> unavailableUntil;
    };

    [[nodiscard]] bool isAvailable(const QString &zone, Time now) const;
    [[nodiscard]] double tokensAt(const QString &zone, Time now) const;
    [[nodiscard]] double fillAt(const QString &zone, Time now) const;

    std::map<QString, Estimate> estimateByZone;
};

} // namespace lacewingmux

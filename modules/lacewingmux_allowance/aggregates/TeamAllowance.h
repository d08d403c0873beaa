#pragma once

#include "lacewingmux_allowance/messages/GrantMessages.h"
#include "lacewingmux_allowance/shares/LocalShare.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace lacewingmux {

/** A team's rate and burst limits, for the whole fleet or for one zone. */
struct RateAndBurst
{
    double tokensPerSecond = 0;
    double burstTokens = 0;

    friend bool operator==(const RateAndBurst &, const RateAndBurst &) = default;
};

/** A batch of tokens granted to a front. */
struct TokenGrant
{
    std::uint64_t id = 0;
    MicroTokens amount = 0; ///< 0 when the allowance is empty
};

/**
    A zone's share of one team's rate and burst: a token bucket whose tokens are granted in batches.

    A granted token may be used until it expires, so level + outstanding is kept at or below the
    zone's burst at all times. The tokens used within any window are at most level + outstanding at
    its start plus those that accrue during it, that is, burst + rate * length. See
    docs/design/allowances.md.

    The class reads no clock; the time is passed in and must not go backwards.
*/
class TeamAllowance
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /**
        Creates the allowance of a team that never had one in this zone, with a full bucket. Grants
        are numbered from firstGrantId, which must be unique to this owner of the team, so that a
        settlement meant for an earlier owner has no effect here.
    */
    [[nodiscard]] static TeamAllowance fresh(std::uint64_t firstGrantId, Time now);

    /**
        Restores the allowance after a takeover, with the level of the last journal entry and no
        accrual for the time since. Tokens that were outstanding then count as granted now. Returns
        nothing for a corrupt entry.
    */
    [[nodiscard]] static std::optional<TeamAllowance>
    recovered(const QByteArray &entry, std::uint64_t firstGrantId, Time now);

    /**
        Creates the allowance of a slot whose state was lost. It is empty and accrues no tokens
        until every token that may have been granted before has expired. Its share must come from a
        share record that was fenced for this owner; see ShareRecord::fence().
    */
    [[nodiscard]] static TeamAllowance afterLoss(std::uint64_t firstGrantId, Time now);

    /** Sets the team's fleet-wide rate and burst; a lower burst takes effect at once. */
    void setFleetLimits(const RateAndBurst &newLimits, Time now);

    /** Merges the zone's counters from a share record. */
    void mergeShare(const ShareCounters &recorded, Time now);

    /** Withdraws parts from the share, at most those held; returns how many. */
    std::uint64_t withdrawParts(std::uint64_t parts, Time now);

    /**
        Grants the needed amount as far as the level allows, including fractions of a token. Of the
        remainder only a fraction is granted towards the wanted amount, so that prefetching by one
        front doesn't starve the others.
    */
    [[nodiscard]] TokenGrant grant(MicroTokens needed, MicroTokens wanted, Time now);

    /** Ends a grant before it expires and restores its unused tokens. Unknown ids are ignored. */
    void settle(std::uint64_t grantId, MicroTokens unused, Time now);

    /** Returns the tokens that can be granted now. */
    [[nodiscard]] double level(Time now);

    /** Returns the granted tokens that may still be used. */
    [[nodiscard]] MicroTokens outstanding(Time now);

    [[nodiscard]] const LocalShare &share() const noexcept
    {
        return this->localShare;
    }

    /** Returns the zone's share of the rate and burst. */
    [[nodiscard]] RateAndBurst limits() const noexcept;

    /** Serializes the whole state as a journal entry. */
    [[nodiscard]] QByteArray toEntry() const;

private:
    struct OutstandingGrant
    {
        std::uint64_t id;
        MicroTokens amount;
        Time expiresAt;
    };

    TeamAllowance(std::uint64_t firstGrantId, Time now);

    void fillInitially() noexcept;
    void accrue(Time now);
    void accrueUntil(Time moment);
    void clampLevel() noexcept;
    [[nodiscard]] double outstandingTokens() const noexcept;

    LocalShare localShare;
    RateAndBurst fleetLimits;
    double currentLevel = 0;
    bool initialFillPending = false; ///< new allowance, filled once its share and limits are known
    MicroTokens outstandingAmount = 0;
    std::deque<OutstandingGrant> grants; ///< by time of expiry
    std::uint64_t nextGrantId;
    Time accruedUntil;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_allowance/messages/GrantMessages.h"
#include "lacewingmux_allowance/shares/LocalShare.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace lacewingmux {

/** A team's rate and burst, over the whole fleet or over one zone. */
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

    A granted token may be used until it lapses, so at any moment level + outstanding is at most the
    burst share. A window that starts at that moment sees at most those tokens and what accrues
    within it: burst + rate * length, for every window. See docs/design/allowances.md.

    Pure: time is passed in and must not run backwards.
*/
class TeamAllowance
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /**
        Makes the allowance of a team that never had one in this zone; its level starts full.
        Grants are numbered from firstGrantId, which no other owner of the team may use, so that a
        settlement meant for an earlier owner settles nothing here.
    */
    [[nodiscard]] static TeamAllowance fresh(std::uint64_t firstGrantId, Time now);

    /**
        Makes the allowance after a takeover: the level of the last journal entry, nothing for the
        time since, and every token that was outstanding then counted as granted now. Returns
        nothing when the entry is damaged.
    */
    [[nodiscard]] static std::optional<TeamAllowance>
    recovered(const QByteArray &entry, std::uint64_t firstGrantId, Time now);

    /**
        Makes the allowance of a slot whose state was lost: empty, and without accrual until every
        token that may have been granted has lapsed. Its share must be learnt from a fenced record.
    */
    [[nodiscard]] static TeamAllowance afterLoss(std::uint64_t firstGrantId, Time now);

    /** Sets the team's rate and burst over the whole fleet; a lower burst takes effect at once. */
    void setFleetLimits(const RateAndBurst &newLimits, Time now);

    /** Learns the zone's share from a share record. */
    void mergeShare(const ShareCounters &recorded, Time now);

    /** Gives up parts of the share, at most those held; returns how many. */
    std::uint64_t withdrawParts(std::uint64_t parts, Time now);

    /**
        Grants what is needed as far as the level reaches, a fraction of a token too, and towards
        what is wanted only a part of what is left, so that a stock at one front doesn't starve the
        others.
    */
    [[nodiscard]] TokenGrant grant(MicroTokens needed, MicroTokens wanted, Time now);

    /** Ends a grant before it lapses and puts its unused tokens back. Unknown ids are ignored. */
    void settle(std::uint64_t grantId, MicroTokens unused, Time now);

    /** Returns the tokens that can be granted now. */
    [[nodiscard]] double level(Time now);

    /** Returns what is granted and may still be used. */
    [[nodiscard]] MicroTokens outstanding(Time now);

    [[nodiscard]] const LocalShare &share() const noexcept
    {
        return this->localShare;
    }

    /** Returns the zone's share of rate and burst. */
    [[nodiscard]] RateAndBurst limits() const noexcept;

    /** Returns the whole state as a journal entry. */
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
    bool initialFillPending = false; ///< a fresh allowance fills up once share and limits are known
    MicroTokens outstandingAmount = 0;
    std::deque<OutstandingGrant> grants; ///< in the order in which they lapse
    std::uint64_t nextGrantId;
    Time accruedUntil;
};

} // namespace lacewingmux

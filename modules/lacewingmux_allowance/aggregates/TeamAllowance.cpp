#include "lacewingmux_allowance/aggregates/TeamAllowance.h"

#include "lacewingmux_allowance/aggregates/TokenTimes.h"
#include "lacewingmux_allowance/messages/allowance_generated.h"
#include "lacewingmux_allowance/shares/ShareCodec.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

namespace {

/** The fraction of the level left after the needed amount that one grant may prefetch. */
constexpr double prefetchFraction = 0.25;

/** Tolerates rounding errors when a level is rounded down to millionths of a token. */
constexpr double roundingTolerance = 1e-9;

MicroTokens microTokens(double tokens)
{
    return static_cast<MicroTokens>(
            std::max(0.0, std::floor((tokens + roundingTolerance) * microTokensPerToken)));
}

double tokensOf(MicroTokens amount)
{
    return static_cast<double>(amount) / microTokensPerToken;
}

double secondsBetween(TeamAllowance::Time from, TeamAllowance::Time to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

TeamAllowance::TeamAllowance(std::uint64_t firstGrantId, Time now)
    : nextGrantId(firstGrantId)
    , accruedUntil(now)
{ }

TeamAllowance TeamAllowance::fresh(std::uint64_t firstGrantId, Time now)
{
    TeamAllowance allowance(firstGrantId, now);
    allowance.initialFillPending = true;
    return allowance;
}

std::optional<TeamAllowance> TeamAllowance::recovered(const QByteArray &entry,
                                                      std::uint64_t firstGrantId, Time now)
{
    const auto *table = verifiedTable<fb::TeamAllowanceEntry>(entry);
    if (table == nullptr)
        return std::nullopt;
    TeamAllowance allowance(firstGrantId, now);
    if (table->share() != nullptr)
        allowance.localShare = LocalShare(countersFrom(*table->share()));
    allowance.currentLevel = std::max(0.0, table->level());
    allowance.outstandingAmount = table->outstanding();
    if (allowance.outstandingAmount > 0) {
        allowance.grants.push_back(
                {allowance.nextGrantId++, allowance.outstandingAmount, now + tokenOutstandingTime});
    }
    return allowance;
}

TeamAllowance TeamAllowance::afterLoss(std::uint64_t firstGrantId, Time now)
{
    return {firstGrantId, now + tokenOutstandingTime};
}

void TeamAllowance::setFleetLimits(const RateAndBurst &newLimits, Time now)
{
    this->accrue(now);
    this->fleetLimits = newLimits;
    this->fillInitially();
    this->clampLevel();
}

void TeamAllowance::mergeShare(const ShareCounters &recorded, Time now)
{
    this->accrue(now);
    this->localShare.merge(recorded);
    this->fillInitially();
    this->clampLevel();
}

std::uint64_t TeamAllowance::withdrawParts(std::uint64_t parts, Time now)
{
    this->accrue(now);
    const std::uint64_t given = this->localShare.withdraw(parts);
    this->clampLevel();
    return given;
}

TokenGrant TeamAllowance::grant(MicroTokens needed, MicroTokens wanted, Time now)
{
    this->accrue(now);
    const MicroTokens available = microTokens(this->currentLevel);
    MicroTokens amount = std::min(needed, available);
    const MicroTokens prefetch = wanted > needed ? wanted - needed : 0;
    const double rest = static_cast<double>(available - amount) * prefetchFraction;
    amount += std::min(prefetch, static_cast<MicroTokens>(rest));
    if (amount == 0)
        return {};
    this->currentLevel = std::max(0.0, this->currentLevel - tokensOf(amount));
    this->outstandingAmount += amount;
    this->grants.push_back({this->nextGrantId, amount, now + tokenOutstandingTime});
    return {this->nextGrantId++, amount};
}

void TeamAllowance::settle(std::uint64_t grantId, MicroTokens unused, Time now)
{
    this->accrue(now);
    const auto found =
            std::find_if(this->grants.begin(), this->grants.end(),
                         [grantId](const OutstandingGrant &grant) { return grant.id == grantId; });
    if (found == this->grants.end())
        return;
    this->outstandingAmount -= found->amount;
    this->currentLevel += tokensOf(std::min(unused, found->amount));
    this->grants.erase(found);
    this->clampLevel();
}

double TeamAllowance::level(Time now)
{
    this->accrue(now);
    return this->currentLevel;
}

MicroTokens TeamAllowance::outstanding(Time now)
{
    this->accrue(now);
    return this->outstandingAmount;
}

double TeamAllowance::outstandingTokens() const noexcept
{
    return tokensOf(this->outstandingAmount);
}

RateAndBurst TeamAllowance::limits() const noexcept
{
    const double fraction = this->localShare.counters().fraction();
    return {this->fleetLimits.tokensPerSecond * fraction, this->fleetLimits.burstTokens * fraction};
}

QByteArray TeamAllowance::toEntry() const
{
    flatbuffers::FlatBufferBuilder builder;
    const auto share = this->localShare.isKnown()
                               ? countersInto(builder, this->localShare.counters())
                               : flatbuffers::Offset<fb::ShareCounters>();
    builder.Finish(fb::CreateTeamAllowanceEntry(builder, share, this->currentLevel,
                                                this->outstandingAmount));
    return bytesOf(builder);
}

void TeamAllowance::fillInitially() noexcept
{
    if (!this->initialFillPending || !this->localShare.isKnown()
        || this->fleetLimits.burstTokens <= 0)
        return;
    // Parts received from other zones raise the burst limit but carry no tokens.
    const ShareCounters &counters = this->localShare.counters();
    const double initialPart = static_cast<double>(counters.initial) / partsPerItem;
    this->currentLevel = counters.given == 0 ? this->fleetLimits.burstTokens * initialPart : 0;
    this->initialFillPending = false;
}

void TeamAllowance::accrue(Time now)
{
    // Accrual stops at each expiry in turn, since it makes room in the bucket only from then on.
    while (!this->grants.empty() && this->grants.front().expiresAt <= now) {
        this->accrueUntil(this->grants.front().expiresAt);
        this->outstandingAmount -= this->grants.front().amount;
        this->grants.pop_front();
    }
    this->accrueUntil(now);
}

void TeamAllowance::accrueUntil(Time moment)
{
    if (moment <= this->accruedUntil)
        return;
    if (!this->initialFillPending) {
        const double seconds = secondsBetween(this->accruedUntil, moment);
        this->currentLevel += this->limits().tokensPerSecond * seconds;
        this->clampLevel();
    }
    this->accruedUntil = moment;
}

void TeamAllowance::clampLevel() noexcept
{
    const double room = this->limits().burstTokens - this->outstandingTokens();
    this->currentLevel = std::clamp(this->currentLevel, 0.0, std::max(0.0, room));
}

} // namespace lacewingmux

#include "lacewingmux_allowance/aggregates/TeamAllowance.h"

#include "lacewingmux_allowance/aggregates/TokenTimes.h"
#include "lacewingmux_allowance/messages/allowance_generated.h"
#include "lacewingmux_allowance/shares/ShareCodec.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

namespace {

/** The part of the level, beyond what is needed at once, that one grant may take as a stock. */
constexpr double stockPart = 0.25;

/** Absorbs rounding when a level that should be whole is taken down to whole tokens. */
constexpr double roundingTolerance = 1e-9;

std::uint32_t wholeTokens(double level)
{
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(level + roundingTolerance)));
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
    allowance.fillWhenKnown = true;
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
        allowance.holding = ShareHolding(countersFrom(*table->share()));
    allowance.currentLevel = std::max(0.0, table->level());
    allowance.outstandingTokens = table->outstanding();
    if (allowance.outstandingTokens > 0) {
        allowance.grants.push_back({allowance.nextGrantId++,
                                    static_cast<std::uint32_t>(allowance.outstandingTokens),
                                    now + tokenOutstandingTime});
    }
    return allowance;
}

TeamAllowance TeamAllowance::afterLoss(std::uint64_t firstGrantId, Time now)
{
    return {firstGrantId, now + tokenOutstandingTime};
}

void TeamAllowance::setWhole(const RateAndBurst &fleetLimits, Time now)
{
    this->accrue(now);
    this->whole = fleetLimits;
    this->fillOnce();
    this->capLevel();
}

void TeamAllowance::learnShare(const ShareCounters &recorded, Time now)
{
    this->accrue(now);
    this->holding.learn(recorded);
    this->fillOnce();
    this->capLevel();
}

std::uint64_t TeamAllowance::giveParts(std::uint64_t parts, Time now)
{
    this->accrue(now);
    const std::uint64_t given = this->holding.give(parts);
    this->capLevel();
    return given;
}

bool TeamAllowance::isWithinShare(Time now)
{
    this->accrue(now);
    return static_cast<double>(this->outstandingTokens)
           <= this->limits().burstTokens + roundingTolerance;
}

TokenGrant TeamAllowance::grant(std::uint32_t needed, std::uint32_t wanted, Time now)
{
    this->accrue(now);
    std::uint32_t tokens = std::min(needed, wholeTokens(this->currentLevel));
    const std::uint32_t stock = wanted > needed ? wanted - needed : 0;
    tokens += std::min(stock, wholeTokens((this->currentLevel - tokens) * stockPart));
    if (tokens == 0)
        return {};
    this->currentLevel = std::max(0.0, this->currentLevel - tokens);
    this->outstandingTokens += tokens;
    this->grants.push_back({this->nextGrantId, tokens, now + tokenOutstandingTime});
    return {this->nextGrantId++, tokens};
}

void TeamAllowance::settle(std::uint64_t grantId, std::uint32_t unused, Time now)
{
    this->accrue(now);
    const auto found =
            std::find_if(this->grants.begin(), this->grants.end(),
                         [grantId](const Outstanding &grant) { return grant.id == grantId; });
    if (found == this->grants.end())
        return;
    this->outstandingTokens -= found->tokens;
    this->currentLevel += std::min(unused, found->tokens);
    this->grants.erase(found);
    this->capLevel();
}

std::chrono::microseconds TeamAllowance::untilNextToken(Time now)
{
    using std::chrono::microseconds;
    this->accrue(now);
    if (wholeTokens(this->currentLevel) > 0)
        return microseconds(0);
    const RateAndBurst share = this->limits();
    const auto capAllows = this->capAllowsTokenAt(now);
    if (share.tokensPerSecond <= 0 || !capAllows)
        return noTokenHorizon;
    const double missingSeconds = (1 - this->currentLevel) / share.tokensPerSecond;
    const double startSeconds = std::max(0.0, secondsBetween(now, this->accruedUntil));
    const double capSeconds = secondsBetween(now, *capAllows);
    const double seconds = std::min(std::max(startSeconds + missingSeconds, capSeconds),
                                    std::chrono::duration<double>(noTokenHorizon).count());
    return microseconds(static_cast<std::int64_t>(std::ceil(seconds * 1e6)));
}

double TeamAllowance::level(Time now)
{
    this->accrue(now);
    return this->currentLevel;
}

std::uint64_t TeamAllowance::outstanding(Time now)
{
    this->accrue(now);
    return this->outstandingTokens;
}

RateAndBurst TeamAllowance::limits() const noexcept
{
    const double fraction = this->holding.counters().fraction();
    return {this->whole.tokensPerSecond * fraction, this->whole.burstTokens * fraction};
}

QByteArray TeamAllowance::toEntry() const
{
    flatbuffers::FlatBufferBuilder builder;
    const auto share = this->holding.isKnown() ? countersInto(builder, this->holding.counters())
                                               : flatbuffers::Offset<fb::ShareCounters>();
    builder.Finish(fb::CreateTeamAllowanceEntry(builder, share, this->currentLevel,
                                                this->outstandingTokens));
    return bytesOf(builder);
}

void TeamAllowance::fillOnce() noexcept
{
    if (!this->fillWhenKnown || !this->holding.isKnown() || this->whole.burstTokens <= 0)
        return;
    // Parts received since the item was made raise the cap but bring no tokens with them.
    const ShareCounters &counters = this->holding.counters();
    const double initialPart = static_cast<double>(counters.initial) / wholeParts;
    this->currentLevel = counters.given == 0 ? this->whole.burstTokens * initialPart : 0;
    this->fillWhenKnown = false;
}

void TeamAllowance::accrue(Time now)
{
    // Step by step: a lapse makes room only from its own moment on.
    while (!this->grants.empty() && this->grants.front().lapsesAt <= now) {
        this->accrueUntil(this->grants.front().lapsesAt);
        this->outstandingTokens -= this->grants.front().tokens;
        this->grants.pop_front();
    }
    this->accrueUntil(now);
}

void TeamAllowance::accrueUntil(Time moment)
{
    if (moment <= this->accruedUntil)
        return;
    if (!this->fillWhenKnown) {
        const double seconds = secondsBetween(this->accruedUntil, moment);
        this->currentLevel += this->limits().tokensPerSecond * seconds;
        this->capLevel();
    }
    this->accruedUntil = moment;
}

void TeamAllowance::capLevel() noexcept
{
    const double room = this->limits().burstTokens - static_cast<double>(this->outstandingTokens);
    this->currentLevel = std::clamp(this->currentLevel, 0.0, std::max(0.0, room));
}

std::optional<TeamAllowance::Time> TeamAllowance::capAllowsTokenAt(Time now) const
{
    double room = this->limits().burstTokens - static_cast<double>(this->outstandingTokens);
    if (room + roundingTolerance >= 1)
        return now;
    for (const Outstanding &grant : this->grants) {
        room += grant.tokens;
        if (room + roundingTolerance >= 1)
            return grant.lapsesAt;
    }
    return std::nullopt;
}

} // namespace lacewingmux

#include "lacewingmux_allowance/aggregates/TeamAllowance.h"
#include "allowance/support/AdmissionEvents.h"
#include "lacewingmux_allowance/aggregates/TokenTimes.h"

#include <criterion/criterion.h>

#include <deque>
#include <random>

using namespace lacewingmux;
using namespace lacewingmux::test;
using namespace std::chrono_literals;

namespace {

using Time = TeamAllowance::Time;

const QString team = QStringLiteral("team");
constexpr BucketLimits limits{20, 15};
constexpr ShareCounters fullShare{partsPerItem, 0, 0};

TeamAllowance ready(TeamAllowance allowance, Time now)
{
    allowance.setFleetLimits({limits.tokensPerSecond, limits.burstTokens}, now);
    allowance.mergeShare(fullShare, now);
    return allowance;
}

/** Faulty variant: a bucket that grants batches but ignores that they may be used later. */
class NonTrackingBucket
{
public:
    TokenGrant grant(MicroTokens needed, Time now)
    {
        const double seconds = std::chrono::duration<double>(now - this->updated).count();
        this->level = std::min(limits.burstTokens, this->level + seconds * limits.tokensPerSecond);
        this->updated = now;
        const auto amount =
                std::min(needed, static_cast<MicroTokens>(this->level) * microTokensPerToken);
        this->level -= static_cast<double>(amount) / microTokensPerToken;
        return {1, amount};
    }

private:
    double level = limits.burstTokens;
    Time updated{1h};
};

/** Uses many tokens just before they expire; returns the largest excess in any window. */
double excessOfLateUse(const std::function<TokenGrant(MicroTokens, Time)> &grant,
                       std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<AdmissionEvent> events;
    Time now{1h};
    for (int step = 0; step < 4000; ++step) {
        now += std::chrono::milliseconds(random() % 60 + (random() % 50 == 0 ? 1500 : 0));
        const TokenGrant granted = grant((1 + random() % 20) * microTokensPerToken, now);
        const auto usedAfter = random() % 3 == 0 ? 0ms : tokenLifetime;
        for (MicroTokens used = 0; used + microTokensPerToken <= granted.amount;
             used += microTokensPerToken)
            events.push_back({now, now + usedAfter, team, true, false});
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const AdmissionEvent &left, const AdmissionEvent &right) {
                         return left.decidedAt < right.decidedAt;
                     });
    return largestExcess(events, team, limits);
}

} // namespace

Test(TeamAllowance, keepsTheLimitInEveryWindowWhenTokensAreUsedAsLateAsPossible)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TeamAllowance allowance = ready(TeamAllowance::fresh(1, Time(1h)), Time(1h));
        const double excess = excessOfLateUse(
                [&allowance](MicroTokens needed, Time now) {
                    return allowance.grant(needed, needed, now);
                },
                seed);
        cr_expect_leq(excess, 1e-6, "seed %llu: %f", static_cast<unsigned long long>(seed), excess);
    }
}

Test(TeamAllowance, theCheckDetectsABucketThatIgnoresOutstandingGrants)
{
    NonTrackingBucket bucket;
    const double excess = excessOfLateUse(
            [&bucket](MicroTokens needed, Time now) { return bucket.grant(needed, now); }, 1);
    cr_assert_gt(excess, 1);
}

Test(TeamAllowance, recoversTheLastDebitWithoutAccrualForTheGap)
{
    const Time start{1h};
    TeamAllowance before = ready(TeamAllowance::fresh(1, start), start);
    cr_assert_eq(before.grant(12 * microTokensPerToken, 12 * microTokensPerToken, start).amount,
                 12 * microTokensPerToken);
    const QByteArray entry = before.toEntry();

    const Time later = start + 30s;
    auto after = TeamAllowance::recovered(entry, 1000, later);
    cr_assert(after.has_value());
    after->setFleetLimits({limits.tokensPerSecond, limits.burstTokens}, later);
    cr_assert_float_eq(after->level(later), 3, 1e-6);
    cr_assert_eq(after->outstanding(later), 12 * microTokensPerToken);
    after->settle(1, 12 * microTokensPerToken, later);
    cr_assert_eq(after->outstanding(later), 12 * microTokensPerToken,
                 "a grant of the earlier owner");
    cr_assert_not(TeamAllowance::recovered(QByteArray("damaged"), 1, later).has_value());
}

Test(TeamAllowance, grantsNothingAfterALossUntilEarlierTokensHaveExpired)
{
    const Time start{1h};
    TeamAllowance allowance = ready(TeamAllowance::afterLoss(1, start), start);
    cr_assert_eq(
            allowance.grant(microTokensPerToken, microTokensPerToken, start + tokenLifetime).amount,
            0);
    cr_assert_gt(allowance.level(start + 1s), 0);
}

Test(TeamAllowance, aLowerRateAndBurstAreInForceAtOnce)
{
    const Time start{1h};
    TeamAllowance allowance = ready(TeamAllowance::fresh(1, start), start);
    allowance.setFleetLimits({2, 4}, start);
    cr_assert_eq(allowance.grant(15 * microTokensPerToken, 15 * microTokensPerToken, start).amount,
                 4 * microTokensPerToken);
    cr_assert_leq(allowance.level(start + 10s), 4);
}

#include "DecisionFixtures.h"

#include "lacewingmux_core/metrics/WorkCounter.h"

#include <criterion/criterion.h>

#include <cmath>
#include <cstdint>
#include <cstdio>

using namespace lacewingmux;

namespace {

/** Returns the average number of counted steps per decision. */
template <typename Fixture>
double stepsPerDecision(Fixture &fixture)
{
    constexpr int decisions = 20000;
    const std::uint64_t before = WorkCounter::steps();
    for (int decision = 0; decision < decisions; ++decision)
        static_cast<void>(fixture.decide());
    return static_cast<double>(WorkCounter::steps() - before) / decisions;
}

/** Returns the ratio of the logarithms of two sizes. */
double logarithmRatio(double small, double large)
{
    return std::log(large) / std::log(small);
}

} // namespace

Test(DecisionBounds, choiceOfReplicaGrowsNoFasterThanTheLogarithmOfThePool)
{
    ChooserFixture small(15);
    ChooserFixture large(6900);
    const double ratio = stepsPerDecision(large) / stepsPerDecision(small);
    std::printf("choice of replica, 6,900 over 15: %.2f\n", ratio);
    cr_assert_lt(ratio, logarithmRatio(15, 6900), "6,900 replicas take %.2f times the steps of 15",
                 ratio);
}

Test(DecisionBounds, orderOfWorkGrowsNoFasterThanTheLogarithmOfPrograms)
{
    QueueFixture small(1000, 80);
    QueueFixture large(1000000, 80);
    const double ratio = stepsPerDecision(large) / stepsPerDecision(small);
    std::printf("order of work, 1,000,000 over 1,000 programs: %.2f\n", ratio);
    cr_assert_lt(ratio, logarithmRatio(1000, 1000000),
                 "1,000,000 programs take %.2f times the steps of 1,000", ratio);
}

Test(DecisionBounds, orderOfWorkGrowsNoFasterThanTheLogarithmOfTeams)
{
    QueueFixture small(10000, 8);
    QueueFixture large(10000, 1300);
    const double ratio = stepsPerDecision(large) / stepsPerDecision(small);
    std::printf("order of work, 1,300 over 8 teams: %.2f\n", ratio);
    cr_assert_lt(ratio, logarithmRatio(8, 1300), "1,300 teams take %.2f times the steps of 8",
                 ratio);
}

Test(DecisionBounds, quarantineLookupGrowsNoFasterThanTheLogarithmOfContents)
{
    QuarantineFixture small(100);
    QuarantineFixture large(10000);
    const double ratio = stepsPerDecision(large) / stepsPerDecision(small);
    std::printf("quarantine, 10,000 over 100 contents: %.2f\n", ratio);
    cr_assert_lt(ratio, logarithmRatio(100, 10000),
                 "10,000 contents take %.2f times the steps of 100", ratio);
}

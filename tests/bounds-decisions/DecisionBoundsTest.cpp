#include "DecisionFixtures.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>

using namespace lacewingmux;

namespace {

/** Returns the shortest of several runs, which other load on the machine disturbs least. */
template <typename Fixture>
double timeOfDecisions(Fixture &fixture)
{
    constexpr int runs = 15;
    constexpr int decisionsPerRun = 20000;
    auto best = std::chrono::nanoseconds::max();
    for (int run = 0; run < runs; ++run) {
        const auto start = std::chrono::steady_clock::now();
        for (int decision = 0; decision < decisionsPerRun; ++decision)
            static_cast<void>(fixture.decide());
        best = std::min<std::chrono::nanoseconds>(best, std::chrono::steady_clock::now() - start);
    }
    return static_cast<double>(best.count());
}

/** How the logarithm grows between two sizes. */
double logarithmRatio(double small, double large)
{
    return std::log(large) / std::log(small);
}

/** Beyond the logarithm of steps, each step of a structure that outgrows the processor's caches
    costs a fetch from memory. */
constexpr double memoryFactor = 3;

} // namespace

Test(DecisionBounds, choiceOfReplicaGrowsNoFasterThanTheLogarithmOfThePool)
{
    ChooserFixture small(15);
    ChooserFixture large(6900);
    const double ratio = timeOfDecisions(large) / timeOfDecisions(small);
    std::printf("choice of replica, 6,900 over 15: %.2f\n", ratio);
    cr_assert_lt(ratio, logarithmRatio(15, 6900), "6,900 replicas cost %.2f times 15", ratio);
}

Test(DecisionBounds, orderOfWorkGrowsNoFasterThanTheLogarithmOfPrograms)
{
    QueueFixture small(1000, 80);
    QueueFixture large(1000000, 80);
    const double ratio = timeOfDecisions(large) / timeOfDecisions(small);
    std::printf("order of work, 1,000,000 over 1,000 programs: %.2f\n", ratio);
    cr_assert_lt(ratio, memoryFactor * logarithmRatio(1000, 1000000),
                 "1,000,000 programs cost %.2f times 1,000", ratio);
}

Test(DecisionBounds, orderOfWorkGrowsNoFasterThanTheLogarithmOfTeams)
{
    QueueFixture small(10000, 8);
    QueueFixture large(10000, 1300);
    const double ratio = timeOfDecisions(large) / timeOfDecisions(small);
    std::printf("order of work, 1,300 over 8 teams: %.2f\n", ratio);
    cr_assert_lt(ratio, logarithmRatio(8, 1300), "1,300 teams cost %.2f times 8", ratio);
}

Test(DecisionBounds, quarantineLookupGrowsNoFasterThanTheLogarithmOfContents)
{
    QuarantineFixture small(100);
    QuarantineFixture large(10000);
    const double ratio = timeOfDecisions(large) / timeOfDecisions(small);
    std::printf("quarantine, 10,000 over 100 contents: %.2f\n", ratio);
    cr_assert_lt(ratio, memoryFactor * logarithmRatio(100, 10000),
                 "10,000 contents cost %.2f times 100", ratio);
}

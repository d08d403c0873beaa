#include "allowance/support/AllowanceFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace lacewingmux::test;
using namespace std::chrono_literals;

namespace {

Allowance allowanceOf(const char *team, double rate, double burst)
{
    Allowance allowance;
    allowance.plan = QString::fromLatin1(team);
    allowance.requestsPerSecond = rate;
    allowance.burstRequests = burst;
    return allowance;
}

const QString team = QStringLiteral("accra");

} // namespace

Test(TeamAdmission, admitsTheBurstAndThenRefusesAtOnceWithTheTimeOfTheNextToken)
{
    AllowanceFleet fleet({3, 2, {allowanceOf("accra", 30, 30)}});
    for (int request = 0; request < 60; ++request)
        fleet.request(0, team);
    fleet.advance(30ms);
    cr_assert_eq(fleet.events.size(), 60);
    const auto result = compareWithBucket(fleet.events, team, {30, 30});
    cr_assert_geq(result.admitted, 28U, "admitted %zu", result.admitted);
    cr_assert_leq(largestExcess(fleet.events, team, {30, 30}), 1e-6);
}

Test(TeamAdmission, reportsThatNoOwnerCanBeReached)
{
    AllowanceFleet fleet({1, 2, {allowanceOf("accra", 30, 30)}});
    const AggregateId id = ShareItem::team(team).aggregateIn(AllowanceFleet::zoneName(0));
    const std::size_t ownerVm =
            fleet.vms[0]->journal->status(id.slot()) == SlotStatus::Active ? 0 : 1;
    fleet.kill(ownerVm);
    fleet.request(1 - ownerVm, team);
    fleet.advance(500ms);
    cr_assert_eq(fleet.events.size(), 1);
    cr_assert_not(fleet.events[0].admitted);
    cr_assert_not(fleet.events[0].rateLimited);
}

Test(TeamAdmission, borrowsFromOtherZonesWhenItsOwnHasNoTokens)
{
    AllowanceFleet fleet({3, 2, {allowanceOf("accra", 30, 30)}});
    for (int request = 0; request < 29; ++request) {
        fleet.request(0, team);
        fleet.advance(5ms);
    }
    const auto result = compareWithBucket(fleet.events, team, {30, 30});
    cr_assert_eq(result.admitted, 29U, "admitted %zu", result.admitted);
}

Test(TeamAdmission, keepsToRateAndBurstUnderOverload)
{
    AllowanceFleet fleet({3, 2, {allowanceOf("accra", 50, 20)}});
    for (int step = 0; step < 4000; ++step) {
        fleet.request(step % 6, team);
        fleet.advance(4ms);
    }
    cr_assert_leq(largestExcess(fleet.events, team, {50, 20}), 1e-6);
    const auto result = compareWithBucket(fleet.events, team, {50, 20});
    cr_assert_geq(static_cast<double>(result.admitted),
                  0.95 * static_cast<double>(result.baselineAdmitted), "%zu of %zu",
                  result.admitted, result.baselineAdmitted);
}

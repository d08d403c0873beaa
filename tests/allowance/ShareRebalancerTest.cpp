#include "allowance/support/AllowanceFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace lacewingmux::test;
using namespace std::chrono_literals;

namespace {

const QString team = QStringLiteral("accra");

Allowance accra(double rate, double burst)
{
    Allowance allowance;
    allowance.plan = team;
    allowance.requestsPerSecond = rate;
    allowance.burstRequests = burst;
    return allowance;
}

/** Returns the zone's parts according to the share records known to the VM. */
std::uint64_t partsOf(const AllowanceFleet &fleet, std::size_t vm, int zone)
{
    const SharesByZone *shares =
            fleet.vms.at(vm)->rebalancer->records().find(ShareItem::team(team));
    if (shares == nullptr)
        return 0;
    const auto found = shares->find(AllowanceFleet::zoneName(zone));
    return found == shares->end() ? 0 : found->second.counters.parts();
}

} // namespace

Test(ShareRebalancer, startsWithEqualSharesThatSumToTheWhole)
{
    AllowanceFleet fleet({3, 2, {accra(30, 30)}});
    std::uint64_t sum = 0;
    for (int zone = 0; zone < 3; ++zone) {
        const std::uint64_t parts = partsOf(fleet, 5, zone);
        cr_assert_leq(parts, partsPerItem / 3 + 1);
        sum += parts;
    }
    cr_assert_eq(sum, partsPerItem);
}

Test(ShareRebalancer, movesTheShareToTheZoneWithDemand)
{
    AllowanceFleet fleet({3, 2, {accra(30, 30)}});
    for (int step = 0; step < 1500; ++step) {
        fleet.request(static_cast<std::size_t>(step % 2), team);
        fleet.advance(40ms);
    }
    cr_assert_gt(partsOf(fleet, 0, 0), partsPerItem * 6 / 10, "%llu parts",
                 static_cast<unsigned long long>(partsOf(fleet, 0, 0)));
    cr_assert_leq(largestExcess(fleet.events, team, {30, 30}), 1e-6);
}

Test(ShareRebalancer, aPartitionedZoneAndTheOthersKeepTheirShares)
{
    AllowanceFleet fleet({3, 2, {accra(30, 30)}});
    fleet.cutZone(2);
    for (int step = 0; step < 500; ++step) {
        fleet.request(static_cast<std::size_t>(step % 2), team);
        fleet.advance(40ms);
    }
    cr_assert_geq(partsOf(fleet, 0, 2), partsPerItem / 3);
    std::size_t admittedBefore = fleet.events.size();
    for (int step = 0; step < 10; ++step) {
        fleet.request(4, team);
        fleet.advance(200ms);
    }
    for (std::size_t index = admittedBefore; index < fleet.events.size(); ++index)
        cr_assert(fleet.events[index].admitted);
}

Test(ShareRebalancer, aLostReplyNeitherDuplicatesNorLosesATransfer)
{
    AllowanceFleet fleet({3, 2, {accra(30, 30)}});
    for (int step = 0; step < 1500; ++step) {
        if (step % 25 == 0)
            fleet.storeServer->loseWriteReplies(1);
        fleet.request(static_cast<std::size_t>(step % 2), team);
        fleet.advance(40ms);
    }
    fleet.advance(10s);
    std::uint64_t sum = 0;
    for (int zone = 0; zone < 3; ++zone)
        sum += partsOf(fleet, 5, zone);
    cr_assert_eq(sum, partsPerItem);
    cr_assert_gt(partsOf(fleet, 0, 0), partsPerItem / 2);
}

Test(ShareRebalancer, aBurstSmallerThanTheZonesIsHeldInWholeTokens)
{
    AllowanceFleet fleet({4, 2, {accra(10, 1)}});
    fleet.request(0, team);
    fleet.advance(300ms);
    cr_assert(fleet.events.at(0).admitted);
}

Test(ShareRebalancer, reclaimsTheShareOfARemovedZoneOnceNoPartOfItCanBeInUse)
{
    AllowanceFleet fleet({3, 2, {accra(30, 30)}});
    fleet.kill(4);
    fleet.kill(5);
    for (const std::size_t vm : fleet.running())
        fleet.vms[vm]->rebalancer->setRemovedZones({AllowanceFleet::zoneName(2)});
    fleet.advance(60s);
    cr_assert_geq(partsOf(fleet, 0, 2), partsPerItem / 3, "calls may still run");
    fleet.advance(100s);
    cr_assert_eq(partsOf(fleet, 0, 2), 0);
    cr_assert_eq(partsOf(fleet, 0, 0) + partsOf(fleet, 0, 1), partsPerItem);
}

Test(ShareRebalancer, aLostJournalGrantsNothingUntilTheRecordIsFenced)
{
    AllowanceFleet fleet({2, 2, {accra(30, 30)}});
    fleet.plan.borrowing = false;
    for (const auto &vm : fleet.vms)
        vm->admission->setBorrowing(false);
    fleet.storeServer->setDown(true);
    fleet.loseJournal(0);
    fleet.advance(3s);
    fleet.request(0, team);
    fleet.advance(500ms);
    cr_assert_eq(fleet.events.size(), 1);
    cr_assert_not(fleet.events.back().admitted);
    cr_assert_not(fleet.events.back().rateLimited);

    fleet.storeServer->setDown(false);
    fleet.advance(10s);
    fleet.request(0, team);
    fleet.advance(500ms);
    cr_assert(fleet.events.back().admitted);
}

Test(ShareRebalancer, aLoweredRateIsExceededOnlyByTheShareOfAPartitionedZone)
{
    AllowanceFleet fleet({3, 2, {accra(60, 30)}});
    fleet.cutZone(2);
    auto lowered = std::make_shared<Configuration>(*fleet.configuration);
    lowered->revision = 2;
    lowered->allowances[0].requestsPerSecond = 30;
    lowered->allowances[0].burstRequests = 15;
    for (std::size_t vm = 0; vm < 4; ++vm)
        fleet.vms[vm]->owner->adoptConfiguration(lowered);
    fleet.events.clear();
    for (int step = 0; step < 2000; ++step) {
        for (std::size_t vm = 0; vm < 6; ++vm)
            fleet.request(vm, team);
        fleet.advance(5ms);
    }
    // Two zones hold two thirds of the lowered limits; the partitioned one a third of the old ones.
    const BucketLimits bound{30 * 2.0 / 3 + 60 / 3.0, 15 * 2.0 / 3 + 30 / 3.0};
    const double excess = largestExcess(fleet.events, team, bound);
    cr_assert_leq(excess, 1e-3, "excess %f", excess);
    cr_assert_gt(largestExcess(fleet.events, team, {30, 15}), 0, "the bound is not trivial");
}

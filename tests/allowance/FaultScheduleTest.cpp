#include "allowance/support/FaultSchedule.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace lacewingmux::test;

namespace {

constexpr std::uint64_t correctFleetSeeds = 24;
constexpr std::uint64_t faultyFleetSeeds = 12;

/** Returns whether a schedule with one of the seeds violates the limits under the faults. */
bool isDetected(const FleetFaults &faults)
{
    for (std::uint64_t seed = 1; seed <= faultyFleetSeeds; ++seed) {
        if (!runFaultSchedule(seed, faults).holds())
            return true;
    }
    return false;
}

/**
    Pauses a front that holds prefetched tokens until the bucket is full again, then drains the
    bucket through the other front and resumes the first. Returns the largest excess over the
    limits in any window.
*/
double excessAfterPause(const FleetFaults &faults)
{
    const QString team = QStringLiteral("paused");
    FleetPlan plan;
    plan.zones = 1;
    plan.faults = faults;
    Allowance allowance;
    allowance.plan = team;
    allowance.requestsPerSecond = 40;
    allowance.burstRequests = 60;
    plan.allowances = {allowance};
    AllowanceFleet fleet(plan);
    // The VM that isn't the owner is paused, so that the owner continues to grant tokens.
    const SlotIndex slot = ShareItem::team(team).aggregateIn(AllowanceFleet::zoneName(0)).slot();
    const std::size_t owner = fleet.vms[0]->journal->status(slot) == SlotStatus::Active ? 0 : 1;
    const std::size_t front = 1 - owner;
    for (int step = 0; step < 67; ++step) {
        fleet.request(front, team);
        fleet.advance(std::chrono::milliseconds(30));
    }
    fleet.pause(front);
    fleet.advance(std::chrono::milliseconds(1400));
    for (int step = 0; step < 100; ++step)
        fleet.request(owner, team);
    fleet.advance(std::chrono::milliseconds(10));
    fleet.resume(front);
    for (int step = 0; step < 10; ++step)
        fleet.request(front, team);
    fleet.advance(std::chrono::milliseconds(500));
    return largestExcess(fleet.events, team, {40, 60});
}

} // namespace

Test(FaultSchedule, neverAdmitsAboveRateAndBurstNorUsesMoreThanAllParts)
{
    for (std::uint64_t seed = 1; seed <= correctFleetSeeds; ++seed) {
        const ScheduleOutcome outcome = runFaultSchedule(seed, {});
        cr_expect(outcome.holds(), "seed %llu: %s", static_cast<unsigned long long>(seed),
                  outcome.describe().c_str());
        cr_expect_gt(outcome.admitted, 200U, "seed %llu: %s", static_cast<unsigned long long>(seed),
                     outcome.describe().c_str());
    }
}

Test(FaultSchedule, detectsAnOwnerThatCommitsAfterItWasReplaced)
{
    FleetFaults faults;
    faults.journalIgnoresFence = true;
    cr_assert(isDetected(faults));
}

Test(FaultSchedule, detectsDebitsThatATakeoverDoesNotKnow)
{
    FleetFaults faults;
    faults.journalForgetsEntries = true;
    cr_assert(isDetected(faults));
}

Test(FaultSchedule, aPausedFrontUsesNoExpiredTokens)
{
    cr_assert_leq(excessAfterPause({}), 1e-6);
    FleetFaults faults;
    faults.clocksFreeze = true;
    cr_assert_gt(excessAfterPause(faults), 0.5,
                 "the check does not detect the use of expired tokens");
}

Test(FaultSchedule, detectsSharesWrittenWithoutCompareAndSwap)
{
    FleetFaults faults;
    faults.storeIgnoresRevision = true;
    cr_assert(isDetected(faults));
}

Test(FaultSchedule, detectsTransfersThatTheDonorKeepsUsing)
{
    FleetFaults faults;
    faults.transfersAreNotWithdrawn = true;
    cr_assert(isDetected(faults));
}

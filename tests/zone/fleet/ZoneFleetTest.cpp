#include "zone/fleet/ZoneFleet.h"
#include "zone/model/ScheduleCount.h"

#include <criterion/criterion.h>

#include <chrono>
#include <random>
#include <vector>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seedCount = 20;

const std::vector<QString> threeVms{QStringLiteral("a"), QStringLiteral("b"), QStringLiteral("c")};

void check(const ZoneFleet &fleet, std::uint64_t seed)
{
    const auto number = static_cast<unsigned long long>(seed);
    cr_assert(fleet.checks.violations().empty(), "seed %llu: %s", number,
              fleet.checks.violations().front().c_str());
    cr_assert_eq(fleet.checks.incompleteActivations(), 0, "seed %llu: state was lost", number);
}

std::vector<QString> without(std::vector<QString> vms, const QString &gone)
{
    std::erase(vms, gone);
    return vms;
}

/** Injects one failure and ends it after up to 6 s, or once the others have taken over. */
void injectFailure(ZoneFleet &fleet, std::mt19937_64 &random, const std::vector<QString> &vms)
{
    const QString &victim = vms[random() % vms.size()];
    const std::chrono::milliseconds moment(random() % 6000);
    switch (random() % 5) {
    case 0:
        fleet.kill(victim);
        fleet.run(moment);
        fleet.start(victim);
        break;
    case 1:
        fleet.isolate(victim);
        fleet.run(moment);
        fleet.heal();
        break;
    case 2:
        fleet.store->setDown(true);
        fleet.run(moment);
        fleet.store->setDown(false);
        break;
    case 3:
        fleet.store->loseWriteReplies(1);
        fleet.kill(victim);
        fleet.run(moment);
        fleet.start(victim);
        break;
    default:
        fleet.leave(victim);
        cr_assert(fleet.runUntil(
                [&] { return fleet.isDrained(victim) && fleet.isSettled(without(vms, victim)); }));
        fleet.kill(victim);
        fleet.start(victim);
        break;
    }
}

void runFleet(const std::vector<QString> &vms, std::uint64_t seed)
{
    ZoneFleet fleet(seed);
    std::mt19937_64 random(seed);
    for (const QString &vm : vms) {
        fleet.start(vm);
        fleet.run(1s);
    }
    for (int failure = 0; failure < 8; ++failure) {
        cr_assert(fleet.runUntil([&] { return fleet.isSettled(vms); }),
                  "seed %llu doesn't settle before failure %d",
                  static_cast<unsigned long long>(seed), failure);
        check(fleet, seed);
        injectFailure(fleet, random, vms);
    }
    cr_assert(fleet.runUntil([&] { return fleet.isSettled(vms); }));
    check(fleet, seed);
    cr_assert_gt(fleet.checks.effectCount(), 100U);
}

} // namespace

Test(ZoneFleet, threeVmsLoseNothingWhileOneFailsAtATime, .timeout = 300)
{
    for (std::uint64_t seed = 1; seed <= scheduleCount(seedCount); ++seed)
        runFleet(threeVms, seed);
}

Test(ZoneFleet, twoVmsLoseNothingWhileOneFailsAtATime, .timeout = 300)
{
    for (std::uint64_t seed = 1; seed <= scheduleCount(seedCount); ++seed)
        runFleet({threeVms[0], threeVms[1]}, seed);
}

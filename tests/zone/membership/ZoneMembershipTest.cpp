#include "zone/membership/MembershipFleet.h"

#include "lacewingmux_zone/views/FleetViews.h"

#include <criterion/criterion.h>

#include <random>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const QString a = QStringLiteral("a");
const QString b = QStringLiteral("b");
const QString c = QStringLiteral("c");

/** Starts the VMs and waits until all of them are in one view. */
void startAll(MembershipFleet &fleet, const std::vector<QString> &vms, const char *expected)
{
    for (const QString &vm : vms)
        fleet.start(vm);
    cr_assert(fleet.runUntil([&] {
        return std::all_of(vms.begin(), vms.end(),
                           [&](const QString &vm) { return fleet.members(vm) == expected; });
    }));
}

} // namespace

Test(ZoneMembership, vmsOfAZoneConvergeOnOneView)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b, c}, "a,b,c");
    cr_assert_eq(fleet.conflictingViewCount(), 0);
}

Test(ZoneMembership, aKilledVmIsRemoved)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b, c}, "a,b,c");
    const auto epoch = fleet.membership(a).ownView()->epoch();
    fleet.kill(b);
    cr_assert(
            fleet.runUntil([&] { return fleet.members(a) == "a,c" && fleet.members(c) == "a,c"; }));
    cr_assert_eq(fleet.membership(a).ownView()->epoch(), epoch + 1);
}

Test(ZoneMembership, aJoinerWithoutItsSlotsRemovesNobodyAtOnce)
{
    MembershipFleet fleet;
    startAll(fleet, {a}, "a");
    fleet.settleSlotsAtOnce = false;
    startAll(fleet, {b}, "a,b");
    fleet.kill(a);
    fleet.run(10s);
    cr_assert(fleet.members(b) == "a,b", "the VM with the only copy of the slots may still return");
}

Test(ZoneMembership, aReplacedVmCountsAsGoneUntilTheSlotsSettle)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b, c}, "a,b,c");
    fleet.settleSlotsAtOnce = false;
    const auto epoch = fleet.membership(b).ownView()->epoch();
    fleet.start(a);
    cr_assert(fleet.runUntil([&] { return fleet.membership(b).ownView()->epoch() > epoch; }));
    fleet.kill(c);
    fleet.run(10s);
    cr_assert(fleet.members(b) == "a,b,c", "the only copy of slots of a and c may be on c");
}

Test(ZoneMembership, theViewDoesNotChangeWhileTheStoreIsDown)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b, c}, "a,b,c");
    fleet.store->setDown(true);
    fleet.kill(b);
    fleet.run(2h);
    cr_assert(fleet.members(a) == "a,b,c");
    cr_assert_not(fleet.membership(a).isStoreReachable());
    fleet.store->setDown(false);
    cr_assert(fleet.runUntil([&] { return fleet.members(a) == "a,c"; }));
}

Test(ZoneMembership, aLostReplyOfAViewChangeIsResolvedByARead)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b, c}, "a,b,c");
    fleet.store->loseWriteReplies(1);
    fleet.kill(b);
    cr_assert(
            fleet.runUntil([&] { return fleet.members(a) == "a,c" && fleet.members(c) == "a,c"; }));
    cr_assert_eq(fleet.conflictingViewCount(), 0);
}

Test(ZoneMembership, anIsolatedVmRejoins)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b, c}, "a,b,c");
    fleet.isolate(b);
    cr_assert(fleet.runUntil([&] { return fleet.members(a) == "a,c"; }));
    cr_assert(fleet.members(b) == "a,b,c", "an isolated VM keeps its last view");
    fleet.heal();
    cr_assert(fleet.runUntil(
            [&] { return fleet.members(b) == "a,b,c" && fleet.members(a) == "a,b,c"; }));
    cr_assert_eq(fleet.conflictingViewCount(), 0);
}

Test(ZoneMembership, aPausedVmIsRemovedAndRemovesNobodyWhenItResumes)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b, c}, "a,b,c");
    fleet.network.pause(b);
    cr_assert(fleet.runUntil([&] { return fleet.members(a) == "a,c"; }));
    fleet.network.resume(b);
    cr_assert(fleet.runUntil([&] { return fleet.members(b) == "a,b,c"; }));
    fleet.run(30s);
    cr_assert(fleet.members(a) == "a,b,c");
}

Test(ZoneMembership, aRunningSoleMemberIsNeverReplaced)
{
    MembershipFleet fleet;
    startAll(fleet, {a}, "a");
    fleet.isolate(a);
    fleet.start(b);
    fleet.network.cut(a, b);
    fleet.run(1h);
    cr_assert_not(fleet.membership(b).isMember());

    fleet.heal();
    cr_assert(
            fleet.runUntil([&] { return fleet.members(a) == "a,b" && fleet.members(b) == "a,b"; }));
}

Test(ZoneMembership, aSoleMemberIsReplacedOnlyOnceThePlatformListsItAsGone)
{
    MembershipFleet fleet;
    startAll(fleet, {a}, "a");
    fleet.kill(a);
    fleet.start(b);
    fleet.run(10min);
    cr_assert_not(fleet.membership(b).isMember());
    fleet.listAsGone(a);
    cr_assert(fleet.runUntil([&] { return fleet.members(b) == "b"; }));
}

Test(ZoneMembership, aNewIncarnationReplacesTheOldOne)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b}, "a,b");
    const auto before = fleet.membership(a).ownView();
    fleet.start(b);
    cr_assert(fleet.runUntil([&] {
        return fleet.membership(a).ownView()->epoch() > before->epoch() && fleet.members(a) == "a,b"
               && fleet.membership(b).isMember();
    }));
}

Test(ZoneMembership, aLeavingVmIsRemovedAndNotReadmitted)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b, c}, "a,b,c");
    fleet.membership(b).leave();
    cr_assert(fleet.runUntil([&] { return fleet.members(a) == "a,c"; }));
    fleet.run(1min);
    cr_assert(fleet.members(a) == "a,c");
    cr_assert_not(fleet.membership(b).isMember());
}

Test(ZoneMembership, aVmThatStartsDuringAnOutageLearnsTheViewsFromItsSeeds)
{
    MembershipFleet fleet;
    startAll(fleet, {a, b}, "a,b");
    fleet.store->setDown(true);
    fleet.start(c);
    cr_assert(fleet.runUntil([&] { return fleet.members(c) == "a,b"; }));
    fleet.store->setDown(false);
    cr_assert(fleet.runUntil([&] { return fleet.members(c) == "a,b,c"; }));
}

Test(ZoneMembership, viewsOfOtherZonesReachEveryVm)
{
    MembershipFleet fleet;
    for (const char *vm : {"a", "b", "c", "d"})
        fleet.start(QString::fromLatin1(vm), QStringLiteral("north"));
    for (const char *vm : {"e", "f", "g", "h"})
        fleet.start(QString::fromLatin1(vm), QStringLiteral("south"));
    cr_assert(fleet.runUntil([&] {
        for (const char *vm : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
            const auto views = fleet.membership(QString::fromLatin1(vm)).views();
            if (views->allMembers().size() != 8)
                return false;
        }
        return true;
    }));
}

Test(ZoneMembership, randomFailuresNeverGiveTwoViewsOneEpochAndAllComeBackTogether, .timeout = 300)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        MembershipFleet fleet;
        std::mt19937 random(seed);
        const std::vector<QString> vms{a, b, c, QStringLiteral("d")};
        startAll(fleet, vms, "a,b,c,d");
        for (int step = 0; step < 40; ++step) {
            const QString &vm = vms[random() % vms.size()];
            switch (random() % 8) {
            case 0:
                fleet.kill(vm);
                break;
            case 1:
                fleet.start(vm);
                break;
            case 2:
                fleet.isolate(vm);
                break;
            case 3:
                fleet.heal();
                break;
            case 4:
                fleet.store->setDown(random() % 2 == 0);
                break;
            case 5:
                fleet.store->loseWriteReplies(2);
                break;
            case 6:
                fleet.network.pause(vm);
                break;
            default:
                fleet.network.resume(vm);
            }
            fleet.run(std::chrono::milliseconds(random() % 4000));
        }
        fleet.store->setDown(false);
        for (const QString &vm : vms) {
            fleet.network.resume(vm);
            if (!fleet.isRunning(vm))
                fleet.start(vm);
        }
        fleet.heal();
        const bool together = fleet.runUntil([&] {
            return std::all_of(vms.begin(), vms.end(), [&](const QString &vm) {
                return fleet.members(vm) == "a,b,c,d" && fleet.membership(vm).isMember();
            });
        });
        cr_assert(together, "seed %u: %s", seed, fleet.members(a).c_str());
        cr_assert_eq(fleet.conflictingViewCount(), 0, "seed %u", seed);
    }
}

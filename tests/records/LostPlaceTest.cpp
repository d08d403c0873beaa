#include "simulation/FleetTurns.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

// Longer than until the next disk is lost, so that a copy is not whole by then.
constexpr milliseconds slowDisk{6000};
constexpr milliseconds usualDisk{5};

void startSlowly(RecordsFleet &fleet, const char *name)
{
    fleet.startRecordsVm(QLatin1String(name));
    fleet.recordsVms.at(QLatin1String(name)).log->setSyncTime(slowDisk);
}

/** Lets the write end that is in progress, and speeds up those after it. */
void endSlowness(RecordsFleet &fleet, const char *name)
{
    fleet.recordsVms.at(QLatin1String(name)).log->setSyncTime(usualDisk);
}

void loseDisk(RecordsFleet &fleet, const char *name)
{
    fleet.stopRecordsVm(QLatin1String(name), 0);
    fleet.wipe(QLatin1String(name));
    fleet.run(milliseconds(500));
}

} // namespace

// Guards against a replacement that waits for timers of its own, although its copy is whole and the
// other members have long found its predecessor silent.
Test(lost_place, is_taken_as_soon_as_the_copy_is_whole)
{
    RecordsFleet fleet(3, 1);
    FleetTurns turns(fleet);
    cr_assert(turns.store("t1", ""));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.run(milliseconds(2500));
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(1000));
    cr_assert_eq(fleet.storedView().syncedCount(), 3, "%s", turns.viewText().c_str());
    cr_assert_null(fleet.storedView().memberOnVm(QStringLiteral("r1")));
}

// Guards against a group that never serves again: a disk is lost before the replacement of another
// VM has copied, and both new disks wait for the VM that is gone.
Test(lost_place, does_not_end_the_service_when_a_disk_is_lost_before_the_copy_is_whole)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("t1", ""));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.run(milliseconds(2000));
    startSlowly(fleet, "r4");
    fleet.run(milliseconds(5000));
    loseDisk(fleet, "r2");
    fleet.startRecordsVm(QStringLiteral("r2"));
    endSlowness(fleet, "r4");
    fleet.run(milliseconds(12000));
    const TurnAdmission continued = turns.open(1, "t2", "t1");
    cr_assert(continued.outcome == TurnOutcome::Ready, "%s", turns.viewText().c_str());
    cr_assert(continued.history == "ab\n");
    cr_assert_eq(fleet.storedView().syncedCount(), 3, "%s", turns.viewText().c_str());
}

// The same when the second VM is replaced as well.
Test(lost_place, does_not_end_the_service_when_two_vms_are_replaced_in_turn)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("t1", ""));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.run(milliseconds(2000));
    startSlowly(fleet, "r4");
    fleet.run(milliseconds(5000));
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.run(milliseconds(2000));
    fleet.startRecordsVm(QStringLiteral("r5"));
    endSlowness(fleet, "r4");
    fleet.run(milliseconds(12000));
    const TurnAdmission continued = turns.open(1, "t2", "t1");
    cr_assert(continued.outcome == TurnOutcome::Ready, "%s", turns.viewText().c_str());
    cr_assert(continued.history == "ab\n");
}

// Guards against two majorities: the members without the silent one go on, so it must not.
Test(lost_place, is_lost_to_one_side_of_a_partition_only)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("t1", ""));
    startSlowly(fleet, "r4");
    fleet.recordsVms.at(QStringLiteral("r4")).log->setSyncTime(2 * slowDisk);
    fleet.run(milliseconds(300));
    fleet.network.cutGroups({"r1", "r2", "r4", "e1"}, {"r3", "e2"});
    fleet.run(milliseconds(5000));
    cr_assert(fleet.storedView().memberOnVm(QStringLiteral("r3"))->state == MemberState::Joining);
    cr_assert(turns.open(0, "t2", "t1").outcome == TurnOutcome::Ready);
    cr_assert(turns.open(1, "t3", "t1").outcome == TurnOutcome::Unavailable);
    fleet.network.healAll();
    fleet.run(milliseconds(3000));
    cr_assert(turns.open(1, "t4", "t1").outcome == TurnOutcome::Ready);
    const RecordsView view = fleet.storedView();
    cr_assert(view.memberOnVm(QStringLiteral("r3"))->state == MemberState::Synced,
              "it has its disk, so it is whole before the slow one: %s", turns.viewText().c_str());
    cr_assert(view.memberOnVm(QStringLiteral("r4"))->state == MemberState::Joining);
}

// Guards against a group that becomes larger each time that a VM of the first start loses its place
// and joins again: the additional place then has to be filled, and raises the quorums.
Test(lost_place, does_not_enlarge_the_group_when_its_former_holder_joins_again)
{
    RecordsFleet fleet(3, 2);
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(300));
    fleet.network.cutGroups({"r3"}, {"r1", "r2", "r4", "e1", "e2"});
    fleet.run(milliseconds(5000));
    fleet.network.healAll();
    fleet.run(milliseconds(3000));
    const RecordsView view = fleet.storedView();
    cr_assert(view.memberOnVm(QStringLiteral("r3"))->state == MemberState::Joining);
    cr_assert_eq(view.targetSize, 3);
    cr_assert_eq(view.syncedCount(), 3);
}

// Guards against a group that never serves again after two VMs were lost for good in turn and all
// of its processes have restarted between the losses: what had been copied is read from the view.
Test(lost_place, does_not_end_the_service_when_two_vms_are_replaced_and_the_others_restart)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("t1", ""));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.run(milliseconds(2000));
    startSlowly(fleet, "r4");
    fleet.run(milliseconds(5000));
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    fleet.startRecordsVm(QStringLiteral("r3"));
    endSlowness(fleet, "r4");
    fleet.run(milliseconds(2000));
    fleet.startRecordsVm(QStringLiteral("r5"));
    fleet.run(milliseconds(12000));
    const TurnAdmission continued = turns.open(1, "t2", "t1");
    cr_assert(continued.outcome == TurnOutcome::Ready, "%s", turns.viewText().c_str());
    cr_assert(continued.history == "ab\n");
    cr_assert_eq(fleet.storedView().syncedCount(), 3, "%s", turns.viewText().c_str());
}

// More disks are lost at once than are tolerated, or the last VM with a turn is only down: the
// others can't tell. They wait for it, however long that takes, until an operator declares it lost.
// Then a turn that only the lost disks had is unknown, and all other turns are served.
Test(lost_place, leaves_only_turns_behind_that_no_other_member_had)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("kept", ""));
    fleet.network.cutGroups({"r3"}, {"r1", "r2", "e1", "e2"});
    fleet.run(milliseconds(1000));
    cr_assert(turns.store("lost", ""));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    loseDisk(fleet, "r2");
    fleet.network.healAll();
    fleet.startRecordsVm(QStringLiteral("r2"));
    startSlowly(fleet, "r4");
    fleet.run(milliseconds(2500));
    cr_assert(turns.outcomeOf(1, "t1", "lost") == TurnOutcome::Unavailable, "%s",
              turns.viewText().c_str());
    endSlowness(fleet, "r4");
    fleet.run(milliseconds(30000));
    cr_assert(turns.outcomeOf(0, "t2", "kept") == TurnOutcome::Unavailable, "%s",
              turns.viewText().c_str());
    cr_assert(turns.outcomeOf(1, "t3", "lost") == TurnOutcome::Unavailable, "%s",
              turns.viewText().c_str());
    fleet.declareLost(QStringLiteral("r1"));
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(0, "t4", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
    cr_assert(turns.outcomeOf(1, "t5", "lost") == TurnOutcome::UnknownTurn, "%s",
              turns.viewText().c_str());
}

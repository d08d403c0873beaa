#include "simulation/RecordsFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

// Longer than until the next disk is lost, so that a copy is not whole by then.
constexpr milliseconds slowDisk{6000};
constexpr milliseconds usualDisk{5};

TurnRequest turn(const char *request, const char *previous)
{
    TurnRequest turnRequest;
    turnRequest.program = "program";
    turnRequest.request = request;
    turnRequest.team = "team";
    turnRequest.previousTurn = previous;
    turnRequest.budget = 1000;
    turnRequest.maximumTokens = 100;
    turnRequest.retention = std::chrono::seconds(60);
    return turnRequest;
}

TurnAdmission open(RecordsFleet &fleet, std::size_t entry, TurnRequest turnRequest)
{
    turnRequest.deadline = fleet.timers.now() + milliseconds(1500);
    std::optional<TurnAdmission> admission;
    fleet.entryVms[entry].client->open(
            turnRequest, [&admission](const TurnAdmission &result) { admission = result; });
    fleet.run(milliseconds(1200));
    cr_assert(admission.has_value());
    return *admission;
}

bool store(RecordsFleet &fleet, TurnRequest turnRequest)
{
    turnRequest.deadline = fleet.timers.now() + milliseconds(1500);
    std::optional<bool> isDurable;
    fleet.entryVms[0].client->store(turnRequest, "a", "b\n", 50,
                                    [&isDurable](bool durable) { isDurable = durable; });
    fleet.run(milliseconds(1800));
    cr_assert(isDurable.has_value());
    return *isDurable;
}

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

std::string viewText(const RecordsFleet &fleet)
{
    return fleet.storedView().toDocument().toStdString();
}

} // namespace

// Guards against a replacement that waits for timers of its own, although its copy is whole and the
// other members have long found its predecessor silent.
Test(lost_place, is_taken_as_soon_as_the_copy_is_whole)
{
    RecordsFleet fleet(3, 1);
    cr_assert(store(fleet, turn("t1", "")));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.run(milliseconds(2500));
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(1000));
    cr_assert_eq(fleet.storedView().syncedCount(), 3, "%s", viewText(fleet).c_str());
    cr_assert_null(fleet.storedView().memberOnVm(QStringLiteral("r1")));
}

// Guards against a group that never serves again: a disk is lost before the replacement of another
// VM has copied, and both new disks wait for the VM that is gone.
Test(lost_place, does_not_end_the_service_when_a_disk_is_lost_before_the_copy_is_whole)
{
    RecordsFleet fleet(3, 2);
    cr_assert(store(fleet, turn("t1", "")));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.run(milliseconds(2000));
    startSlowly(fleet, "r4");
    fleet.run(milliseconds(5000));
    loseDisk(fleet, "r2");
    fleet.startRecordsVm(QStringLiteral("r2"));
    endSlowness(fleet, "r4");
    fleet.run(milliseconds(12000));
    const TurnAdmission continued = open(fleet, 1, turn("t2", "t1"));
    cr_assert(continued.outcome == TurnOutcome::Ready, "%s", viewText(fleet).c_str());
    cr_assert(continued.history == "ab\n");
    cr_assert_eq(fleet.storedView().syncedCount(), 3, "%s", viewText(fleet).c_str());
}

// The same when the second VM is replaced as well.
Test(lost_place, does_not_end_the_service_when_two_vms_are_replaced_in_turn)
{
    RecordsFleet fleet(3, 2);
    cr_assert(store(fleet, turn("t1", "")));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.run(milliseconds(2000));
    startSlowly(fleet, "r4");
    fleet.run(milliseconds(5000));
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.run(milliseconds(2000));
    fleet.startRecordsVm(QStringLiteral("r5"));
    endSlowness(fleet, "r4");
    fleet.run(milliseconds(12000));
    const TurnAdmission continued = open(fleet, 1, turn("t2", "t1"));
    cr_assert(continued.outcome == TurnOutcome::Ready, "%s", viewText(fleet).c_str());
    cr_assert(continued.history == "ab\n");
}

// Guards against two majorities: the members without the silent one go on, so it must not.
Test(lost_place, is_lost_to_one_side_of_a_partition_only)
{
    RecordsFleet fleet(3, 2);
    cr_assert(store(fleet, turn("t1", "")));
    startSlowly(fleet, "r4");
    fleet.run(milliseconds(300));
    fleet.network.cutGroups({"r1", "r2", "r4", "e1"}, {"r3", "e2"});
    fleet.run(milliseconds(5000));
    cr_assert(fleet.storedView().memberOnVm(QStringLiteral("r3"))->state == MemberState::Joining);
    cr_assert(open(fleet, 0, turn("t2", "t1")).outcome == TurnOutcome::Ready);
    cr_assert(open(fleet, 1, turn("t3", "t1")).outcome == TurnOutcome::Unavailable);
    fleet.network.healAll();
    endSlowness(fleet, "r4");
    fleet.run(milliseconds(3000));
    cr_assert(open(fleet, 1, turn("t4", "t1")).outcome == TurnOutcome::Ready);
    const RecordsView view = fleet.storedView();
    cr_assert(view.memberOnVm(QStringLiteral("r3"))->state == MemberState::Synced,
              "it has its disk, so it is whole before the slow one: %s", viewText(fleet).c_str());
}

// More disks are lost at once than are tolerated: a turn that only these had can't be served. It
// is not called unknown before another member is whole again, and all other turns are served.
Test(lost_place, leaves_only_turns_behind_that_no_other_member_had)
{
    RecordsFleet fleet(3, 2);
    cr_assert(store(fleet, turn("kept", "")));
    fleet.network.cutGroups({"r3"}, {"r1", "r2", "e1", "e2"});
    fleet.run(milliseconds(1000));
    cr_assert(store(fleet, turn("lost", "")));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    loseDisk(fleet, "r2");
    fleet.network.healAll();
    fleet.startRecordsVm(QStringLiteral("r2"));
    startSlowly(fleet, "r4");
    fleet.run(milliseconds(2500));
    const TurnAdmission early = open(fleet, 1, turn("t1", "lost"));
    cr_assert(early.outcome == TurnOutcome::Unavailable, "outcome %d, %s",
              static_cast<int>(early.outcome), viewText(fleet).c_str());
    endSlowness(fleet, "r4");
    fleet.run(milliseconds(8000));
    cr_assert(open(fleet, 0, turn("t2", "kept")).outcome == TurnOutcome::Ready, "%s",
              viewText(fleet).c_str());
    cr_assert(open(fleet, 1, turn("t3", "lost")).outcome == TurnOutcome::UnknownTurn);
}

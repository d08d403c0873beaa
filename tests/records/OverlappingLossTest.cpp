#include "simulation/FleetTurns.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

// Several times as long as any delay after which a silent member may be replaced.
constexpr int longAbsenceChecks = 12;

/** Keeps "kept" on all records VMs but one, which is then back without having copied it. Of the
    others, the second one has lost its disk and is back, and the third one is down. */
void loseAllCopiesButOneThatIsDown(RecordsFleet &fleet, FleetTurns &turns, const char *behind,
                                   const char *wiped, const char *down)
{
    fleet.stopRecordsVm(QLatin1String(behind), 0);
    cr_assert(turns.store("kept", ""));
    fleet.stopRecordsVm(QLatin1String(wiped), 0);
    fleet.wipe(QLatin1String(wiped));
    fleet.stopRecordsVm(QLatin1String(down), 0);
    fleet.startRecordsVm(QLatin1String(behind));
    fleet.startRecordsVm(QLatin1String(wiped));
}

} // namespace

// Guards against a turn that is called unknown, and lost to its caller, on the word of a member
// that was down when the turn was kept, while another member that keeps it is down for long.
Test(overlapping_losses, leave_a_kept_turn_unavailable_until_its_last_copy_is_back)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    loseAllCopiesButOneThatIsDown(fleet, turns, "r1", "r2", "r3");
    for (int check = 0; check < longAbsenceChecks; ++check) {
        const TurnOutcome outcome = turns.outcomeOf(1, "t1", "kept");
        cr_assert(outcome == TurnOutcome::Unavailable, "check %d: outcome %d, %s", check,
                  static_cast<int>(outcome), turns.viewText().c_str());
    }
    fleet.startRecordsVm(QStringLiteral("r3"));
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(1, "t2", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
    cr_assert_eq(fleet.storedView().syncedCount(), 3, "%s", turns.viewText().c_str());
}

// Guards against the same in a group of five, of which two keep the turn.
Test(overlapping_losses, leave_a_kept_turn_unavailable_in_a_group_of_five)
{
    RecordsFleet fleet(5, 2);
    FleetTurns turns(fleet);
    fleet.network.cutGroups({"r1", "r2", "r3"}, {"r4", "r5", "e1", "e2"});
    fleet.run(milliseconds(1000));
    cr_assert(turns.store("kept", ""));
    fleet.stopRecordsVm(QStringLiteral("r4"), 0);
    fleet.wipe(QStringLiteral("r4"));
    fleet.stopRecordsVm(QStringLiteral("r5"), 0);
    fleet.network.healAll();
    fleet.startRecordsVm(QStringLiteral("r4"));
    for (int check = 0; check < longAbsenceChecks; ++check) {
        const TurnOutcome outcome = turns.outcomeOf(1, "t1", "kept");
        cr_assert(outcome == TurnOutcome::Unavailable, "check %d: outcome %d, %s", check,
                  static_cast<int>(outcome), turns.viewText().c_str());
    }
    fleet.startRecordsVm(QStringLiteral("r5"));
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(1, "t2", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
}

// Guards against the same when the members that are up restart while the third one is down.
Test(overlapping_losses, leave_a_kept_turn_unavailable_after_a_restart_of_all_others)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    loseAllCopiesButOneThatIsDown(fleet, turns, "r3", "r1", "r2");
    fleet.run(milliseconds(4000));
    for (const char *name : {"r1", "r3"}) {
        fleet.stopRecordsVm(QLatin1String(name), 0);
        fleet.startRecordsVm(QLatin1String(name));
    }
    for (int check = 0; check < longAbsenceChecks; ++check) {
        const TurnOutcome outcome = turns.outcomeOf(1, "t1", "kept");
        cr_assert(outcome == TurnOutcome::Unavailable, "check %d: outcome %d, %s", check,
                  static_cast<int>(outcome), turns.viewText().c_str());
    }
    fleet.startRecordsVm(QStringLiteral("r2"));
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(1, "t2", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
}

// Guards against the same when the third member is not down but paused or cut off, and goes on
// under the view that it knew.
Test(overlapping_losses, leave_a_kept_turn_unavailable_while_its_last_copy_is_cut_off)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    cr_assert(turns.store("kept", ""));
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.wipe(QStringLiteral("r2"));
    fleet.network.cutGroups({"r3"}, {"r1", "r2", "e1", "e2"});
    fleet.startRecordsVm(QStringLiteral("r1"));
    fleet.startRecordsVm(QStringLiteral("r2"));
    for (int check = 0; check < longAbsenceChecks; ++check) {
        const TurnOutcome outcome = turns.outcomeOf(1, "t1", "kept");
        cr_assert(outcome == TurnOutcome::Unavailable, "check %d: outcome %d, %s", check,
                  static_cast<int>(outcome), turns.viewText().c_str());
    }
    fleet.network.healAll();
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(1, "t2", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
}

// Guards against a budget that is spent a second time: the member that knows the reservations is
// down, and one that was down when they were made is taken for a majority.
Test(overlapping_losses, leave_a_spent_budget_spent)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    for (const char *request : {"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10"})
        turns.spend(request);
    cr_assert(turns.outcomeOf(0, "s11", "") == TurnOutcome::BudgetExhausted);
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.wipe(QStringLiteral("r2"));
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    fleet.startRecordsVm(QStringLiteral("r1"));
    fleet.startRecordsVm(QStringLiteral("r2"));
    for (int check = 0; check < longAbsenceChecks; ++check) {
        const TurnOutcome outcome = turns.outcomeOf(1, "again", "");
        cr_assert(outcome == TurnOutcome::Unavailable, "check %d: outcome %d, %s", check,
                  static_cast<int>(outcome), turns.viewText().c_str());
    }
    fleet.startRecordsVm(QStringLiteral("r3"));
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(1, "again", "") == TurnOutcome::BudgetExhausted, "%s",
              turns.viewText().c_str());
}

// Service has to go on when one VM is lost for good and replaced, whether or not the others restart
// meanwhile: nothing depends on the disk that is gone.
Test(overlapping_losses, do_not_suspend_the_service_after_one_lost_vm_and_a_restart_of_the_others)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("kept", ""));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.run(milliseconds(2000));
    fleet.startRecordsVm(QStringLiteral("r4"));
    for (const char *name : {"r2", "r3"}) {
        fleet.stopRecordsVm(QLatin1String(name), 0);
        fleet.startRecordsVm(QLatin1String(name));
    }
    fleet.run(milliseconds(6000));
    cr_assert_eq(fleet.storedView().syncedCount(), 3, "%s", turns.viewText().c_str());
    cr_assert_null(fleet.storedView().memberOnVm(QStringLiteral("r1")));
    cr_assert(turns.outcomeOf(1, "t1", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
    // The place is taken, so the group bears the loss of another disk.
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.wipe(QStringLiteral("r2"));
    fleet.startRecordsVm(QStringLiteral("r2"));
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(1, "t2", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
}

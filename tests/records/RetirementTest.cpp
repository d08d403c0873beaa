#include "simulation/FleetTurns.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against turns that are called unknown on the word of a VM that is retired while it still
// copies: it has lost its disk, another member was down when the turns were kept, and the third
// one, which has them, answers last.
Test(retirement, of_a_vm_that_still_copies_calls_no_turn_unknown)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    cr_assert(turns.store("kept", ""));
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.wipe(QStringLiteral("r2"));
    // The members that lack the turn can't copy it yet.
    fleet.network.cutGroups({"r1", "r2"}, {"r3"});
    fleet.startRecordsVm(QStringLiteral("r1"));
    fleet.startRecordsVm(QStringLiteral("r2"));
    fleet.run(milliseconds(250));
    fleet.retire(QStringLiteral("r2"));
    for (int check = 0; check < 8; ++check)
        cr_assert(turns.outcomeOf(1, "t1", "kept") != TurnOutcome::UnknownTurn, "check %d: %s",
                  check, turns.viewText().c_str());
    fleet.network.healAll();
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(1, "t2", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
    cr_assert(fleet.recordsVms.at(QStringLiteral("r2")).hasLeft, "%s", turns.viewText().c_str());
}

// Guards against a group that bears no lost disk any more after a retirement, and against one that
// never serves again when the last disk is then lost.
Test(retirement, is_not_done_while_the_others_would_bear_no_lost_disk)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("kept", ""));
    fleet.retire(QStringLiteral("r1"));
    fleet.run(milliseconds(2000));
    cr_assert(fleet.recordsVms.at(QStringLiteral("r1")).hasLeft);
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.retire(QStringLiteral("r2"));
    fleet.run(milliseconds(10000));
    cr_assert_not(fleet.recordsVms.at(QStringLiteral("r2")).hasLeft, "%s",
                  turns.viewText().c_str());
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    fleet.wipe(QStringLiteral("r3"));
    fleet.startRecordsVm(QStringLiteral("r3"));
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(1, "t1", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(4000));
    cr_assert(fleet.recordsVms.at(QStringLiteral("r2")).hasLeft, "%s", turns.viewText().c_str());
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    cr_assert(turns.outcomeOf(1, "t2", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
    cr_assert(turns.store("t3", ""), "%s", turns.viewText().c_str());
}

// Guards against turns that are kept on one disk while a VM with another one is being emptied, and
// are lost with that disk.
Test(retirement, keeps_turns_on_the_disk_of_the_vm_that_leaves_if_the_others_are_too_few)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    fleet.retire(QStringLiteral("r1"));
    fleet.run(milliseconds(2000));
    cr_assert(fleet.recordsVms.at(QStringLiteral("r1")).hasLeft);
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.retire(QStringLiteral("r2"));
    fleet.run(milliseconds(300));
    // The disk is lost before the VM that leaves could copy the turn from it.
    fleet.network.cut(QStringLiteral("r2"), QStringLiteral("r3"));
    cr_assert(turns.store("kept", ""));
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    fleet.wipe(QStringLiteral("r3"));
    fleet.network.healAll();
    fleet.run(milliseconds(2000));
    fleet.startRecordsVm(QStringLiteral("r3"));
    for (int check = 0; check < 4; ++check)
        cr_assert(turns.outcomeOf(1, "t1", "kept") != TurnOutcome::UnknownTurn, "%s",
                  turns.viewText().c_str());
    fleet.run(milliseconds(4000));
    cr_assert(turns.outcomeOf(1, "t2", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
}

// Guards against a group that never serves again: a new VM has taken the place that a retirement
// had left, so the one that it was to replace stays in the view, and a further retirement waits for
// it.
Test(retirement, beside_a_member_that_is_gone_does_not_end_the_service)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("kept", ""));
    fleet.retire(QStringLiteral("r1"));
    fleet.run(milliseconds(2000));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.run(milliseconds(2000));
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(16000));
    fleet.retire(QStringLiteral("r3"));
    fleet.run(milliseconds(8000));
    cr_assert(turns.outcomeOf(1, "t1", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
    cr_assert(turns.store("t2", ""), "%s", turns.viewText().c_str());
}

// Guards against the same by a second replacement, whose new VM remains a standby.
Test(retirement, before_two_replacements_does_not_end_the_service)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("kept", ""));
    fleet.retire(QStringLiteral("r1"));
    fleet.run(milliseconds(2000));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.run(milliseconds(2000));
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(16000));
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    fleet.run(milliseconds(2000));
    fleet.startRecordsVm(QStringLiteral("r5"));
    fleet.run(milliseconds(12000));
    cr_assert(turns.outcomeOf(1, "t1", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
    cr_assert(turns.store("t2", ""), "%s", turns.viewText().c_str());
}

// A member that the others have let go while it was silent joins again with its disk.
Test(retirement, of_a_silent_member_ends_with_its_return)
{
    RecordsFleet fleet(3, 2);
    FleetTurns turns(fleet);
    cr_assert(turns.store("kept", ""));
    fleet.network.cutGroups({"r3"}, {"r1", "r2", "e1", "e2"});
    fleet.run(milliseconds(16000));
    cr_assert(fleet.storedView().memberOnVm(QStringLiteral("r3"))->state == MemberState::Joining,
              "%s", turns.viewText().c_str());
    cr_assert(turns.outcomeOf(1, "t1", "kept") == TurnOutcome::Ready, "%s",
              turns.viewText().c_str());
    fleet.network.healAll();
    fleet.run(milliseconds(4000));
    cr_assert_eq(fleet.storedView().syncedCount(), 3, "%s", turns.viewText().c_str());
}

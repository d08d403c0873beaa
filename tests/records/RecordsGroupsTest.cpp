#include "simulation/RecordsFleet.h"

#include "lacewingmux_records/members/RecordsGroups.h"

#include <criterion/criterion.h>

#include <map>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

constexpr int twoGroups = 6; // records VMs, with one tolerated disk

/** Returns a view of the given number of synced members in that many zones. */
RecordsView viewOf(int members, int zones, int toleratedDisks)
{
    RecordsView view;
    view.number = 1;
    view.toleratedDisks = toleratedDisks;
    for (int number = 0; number < members; ++number) {
        RecordsMember member;
        member.vm.hasDataFolder = true;
        member.vm.incarnation = {QStringLiteral("r%1").arg(number),
                                 QStringLiteral("zone-%1").arg(number % zones),
                                 static_cast<std::uint64_t>(number) + 1};
        member.state = MemberState::Synced;
        view.members.push_back(member);
    }
    view.targetSize = members;
    RecordsGroups::deal(view);
    return view;
}

/** Returns a program name of the given group. */
QByteArray programOf(const RecordsView &view, int group)
{
    for (int number = 0;; ++number) {
        const QByteArray name = "program-" + QByteArray::number(number);
        if (view.groupOf(name) == group)
            return name;
    }
}

TurnRequest turnOf(const QByteArray &program, const QByteArray &request, const QByteArray &previous,
                   std::optional<std::int64_t> budget)
{
    TurnRequest turn;
    turn.program = program;
    turn.request = request;
    turn.team = "team";
    turn.previousTurn = previous;
    turn.budget = budget;
    turn.maximumTokens = 100;
    turn.retention = std::chrono::seconds(60);
    return turn;
}

TurnAdmission open(RecordsFleet &fleet, std::size_t entry, TurnRequest turn)
{
    turn.deadline = fleet.timers.now() + milliseconds(1500);
    std::optional<TurnAdmission> admission;
    fleet.entryVms[entry].client->open(
            turn, [&admission](const TurnAdmission &result) { admission = result; });
    fleet.run(milliseconds(1500));
    cr_assert(admission.has_value());
    return *admission;
}

bool store(RecordsFleet &fleet, std::size_t entry, TurnRequest turn, const char *output)
{
    turn.deadline = fleet.timers.now() + milliseconds(1500);
    std::optional<bool> isDurable;
    fleet.entryVms[entry].client->store(turn, "in ", output, 50,
                                        [&isDurable](bool durable) { isDurable = durable; });
    fleet.run(milliseconds(1800));
    cr_assert(isDurable.has_value());
    return *isDurable;
}

} // namespace

// Guards against a turn with copies on two lost disks and one other being unknown: the second new
// disk copied from two members only, which need not include the one that has the turn.
Test(records_groups, a_second_new_disk_copies_from_as_many_members_as_the_first)
{
    RecordsView view = viewOf(5, 3, 2);
    const std::vector<RecordsMember> members = view.members;
    for (std::size_t lost = 0; lost < 2; ++lost) {
        VmDescriptor replacement = members[lost].vm;
        replacement.incarnation.incarnation += 100;
        const auto joined = RecordsMembership::withJoined(view, replacement, false, 2);
        cr_assert(joined.has_value());
        const RecordsMember *joiner = joined->member(replacement.incarnation);
        cr_assert_eq(joiner->syncSources, 3, "disk %zu: %d", lost, joiner->syncSources);
        view = *joined;
    }
}

Test(records_groups, have_enough_members_and_are_spread_over_the_zones)
{
    struct Deployment
    {
        int members;
        int zones;
        int toleratedDisks;
        int groups;
    };
    for (const Deployment &deployment :
         {Deployment{3, 3, 1, 1}, Deployment{4, 4, 1, 1}, Deployment{8, 3, 2, 1},
          Deployment{10, 5, 2, 2}, Deployment{11, 3, 2, 2}, Deployment{24, 5, 2, 4}}) {
        const RecordsView view =
                viewOf(deployment.members, deployment.zones, deployment.toleratedDisks);
        cr_assert_eq(view.groupCount(), deployment.groups);
        std::size_t total = 0;
        for (int group = 0; group < view.groupCount(); ++group) {
            const RecordsView part = view.ofGroup(group);
            cr_assert_eq(static_cast<int>(part.members.size()), part.targetSize);
            cr_assert_geq(part.targetSize, 2 * deployment.toleratedDisks + 1);
            std::map<QString, int> byZone;
            for (const RecordsMember &member : part.members)
                ++byZone[member.vm.incarnation.zone];
            // The loss of a zone leaves a quorum.
            for (const auto &[zone, count] : byZone)
                cr_assert(
                        part.isReservationQuorum(part.targetSize - count, part.targetSize - count),
                        "%d members in %d zones", deployment.members, deployment.zones);
            total += part.members.size();
        }
        cr_assert_eq(total, view.members.size());
    }
}

Test(records_groups, a_turn_costs_the_same_at_any_size)
{
    for (const int members : {5, 24, 96, 480}) {
        const RecordsView view = viewOf(members, 5, 2);
        for (int group = 0; group < view.groupCount(); ++group) {
            cr_assert_leq(view.ofGroup(group).members.size(), 9);
            cr_assert_leq(view.ofGroup(group).reservationQuorum(), 5);
        }
    }
}

Test(records_groups, are_read_back_from_the_document_and_refused_if_invalid)
{
    RecordsView view = viewOf(10, 5, 2);
    view.isForming = true;
    const RecordsView read = RecordsView::fromDocument(view.toDocument()).value();
    cr_assert(read.members == view.members);
    cr_assert(read.groupSizes == view.groupSizes);
    cr_assert(read.isForming);
    view.members.front().group = 2;
    cr_assert_not(RecordsView::fromDocument(view.toDocument()).has_value());
}

Test(records_groups, a_joiner_belongs_to_the_group_that_lacks_most)
{
    RecordsView view = viewOf(10, 5, 2);
    const int lacking = view.members[3].group;
    view.members.erase(view.members.begin() + 3);
    const VmIncarnation joiner{QStringLiteral("new"), QStringLiteral("zone-3"), 99};
    cr_assert_eq(RecordsGroups::groupForJoiner(view, joiner), lacking);
}

Test(records_groups, nothing_is_stored_until_the_groups_are_fixed)
{
    RecordsView view;
    for (int number = 1; number <= 3; ++number) {
        VmDescriptor vm;
        vm.incarnation = {QStringLiteral("r%1").arg(number), QStringLiteral("zone"),
                          static_cast<std::uint64_t>(number)};
        view = RecordsMembership::withJoined(view, vm, true, 1).value();
        ++view.number;
        cr_assert(view.isForming);
    }
    const RecordsView fixed = RecordsMembership::withSealedGroups(view).value();
    cr_assert_not(fixed.isForming);
    cr_assert_not(RecordsMembership::withSealedGroups(fixed).has_value());
    VmDescriptor late;
    late.incarnation = {QStringLiteral("r4"), QStringLiteral("zone"), 4};
    const RecordsView joined = RecordsMembership::withJoined(fixed, late, true, 1).value();
    cr_assert(joined.members.back().state == MemberState::Joining,
              "records may be stored already, so it has to copy them");
    cr_assert_not(joined.ofGroup(0).isStandby(joined.members.back()), "it was meant to be there");
}

Test(records_groups, each_keeps_the_turns_of_its_programs)
{
    RecordsFleet fleet(twoGroups, 2);
    const RecordsView view = fleet.storedView();
    cr_assert_eq(view.groupCount(), 2);
    cr_assert_not(view.isForming);
    for (int group = 0; group < 2; ++group) {
        const QByteArray program = programOf(view, group);
        const QByteArray first = "first-" + program;
        cr_assert(store(fleet, 0, turnOf(program, first, "", 1000), "out\n"));
        const TurnAdmission admission = open(fleet, 1, turnOf(program, "n-" + first, first, 1000));
        cr_assert(admission.outcome == TurnOutcome::Ready);
        cr_assert(admission.history == "in out\n");
        int copies = 0;
        for (const RecordsMember &member : view.members) {
            const bool has = fleet.disks.at(member.vm.incarnation.vm).contains(first);
            cr_assert(!has || member.group == group, "a member of another group has the turn");
            copies += has ? 1 : 0;
        }
        cr_assert_eq(copies, 3);
    }
}

Test(records_groups, a_program_continues_a_turn_of_another_group)
{
    RecordsFleet fleet(twoGroups, 3);
    const RecordsView view = fleet.storedView();
    const QByteArray old = programOf(view, 0);
    const QByteArray fresh = programOf(view, 1);
    cr_assert(store(fleet, 0, turnOf(old, "t1", "", 1000), "one\n"));
    const TurnAdmission second = open(fleet, 1, turnOf(fresh, "t2", "t1", 250));
    cr_assert(second.outcome == TurnOutcome::Ready);
    cr_assert(second.history == "in one\n");
    TurnRequest admitted = turnOf(fresh, "t2", "t1", 250);
    admitted.historyLocation = second.historyLocation;
    cr_assert(store(fleet, 1, admitted, "two\n"));
    // An entry VM that knows nothing of it.
    const TurnAdmission third = open(fleet, 2, turnOf(fresh, "t3", "t2", 250));
    cr_assert(third.outcome == TurnOutcome::Ready);
    cr_assert(third.history == "in one\nin two\n");
    // 50 tokens of t2 are settled and 100 of t3 are reserved, so the budget of 250 holds one more.
    cr_assert(open(fleet, 0, turnOf(fresh, "t4", "", 250)).outcome == TurnOutcome::Ready);
    cr_assert(open(fleet, 1, turnOf(fresh, "t5", "t2", 250)).outcome
              == TurnOutcome::BudgetExhausted);
}

Test(records_groups, a_turn_is_unknown_only_if_no_group_may_have_it)
{
    RecordsFleet fleet(twoGroups, 1);
    const RecordsView view = fleet.storedView();
    const QByteArray program = programOf(view, 0);
    cr_assert(open(fleet, 0, turnOf(program, "t1", "forged", 1000)).outcome
              == TurnOutcome::UnknownTurn);
    int stopped = 0;
    for (const RecordsMember &member : view.members) {
        if (member.group == 1 && stopped < 2) {
            fleet.stopRecordsVm(member.vm.incarnation.vm, 0);
            ++stopped;
        }
    }
    fleet.run(milliseconds(1500));
    cr_assert(open(fleet, 0, turnOf(program, "t2", "forged", 1000)).outcome
                      == TurnOutcome::Unavailable,
              "the other group may have it");
    cr_assert(open(fleet, 0, turnOf(program, "t3", "", 1000)).outcome == TurnOutcome::Ready,
              "the loss of one group does not stop the others");
    cr_assert(fleet.entryVms[0].client->hasQuorum(), "callers are not sent elsewhere");
}

Test(records_groups, a_standby_of_one_group_replaces_a_lost_member_of_another)
{
    RecordsFleet fleet(twoGroups, 2);
    const RecordsView before = fleet.storedView();
    fleet.startRecordsVm(QStringLiteral("r7"));
    fleet.run(milliseconds(2000));
    const RecordsMember *standby = fleet.storedView().memberOnVm(QStringLiteral("r7"));
    cr_assert(standby != nullptr && standby->state == MemberState::Joining);
    const int needy = 1 - standby->group;
    const QByteArray program = programOf(before, needy);
    cr_assert(store(fleet, 0, turnOf(program, "t1", "", 1000), "one\n"));
    const RecordsMember lost = before.ofGroup(needy).members.front();
    fleet.stopRecordsVm(lost.vm.incarnation.vm, 0);
    fleet.run(milliseconds(12000));
    const RecordsView after = fleet.storedView();
    cr_assert_null(after.memberOnVm(lost.vm.incarnation.vm));
    const RecordsMember *successor = after.memberOnVm(QStringLiteral("r7"));
    cr_assert_eq(successor->group, needy);
    cr_assert(successor->state == MemberState::Synced);
    cr_assert(fleet.disks.at(QStringLiteral("r7")).contains("t1"), "it has copied the turn");
    cr_assert(open(fleet, 1, turnOf(program, "t2", "t1", 1000)).outcome == TurnOutcome::Ready);
}

// Guards against a turn with copies on a leaving member, a lost disk and one other being unknown:
// the leaving member was not counted.
Test(records_groups, a_new_disk_beside_a_leaving_member_copies_from_as_many_members)
{
    RecordsView view = viewOf(5, 3, 2);
    view.members[4].state = MemberState::Leaving;
    VmDescriptor replacement = view.members[0].vm;
    replacement.incarnation.incarnation += 100;
    const auto joined = RecordsMembership::withJoined(view, replacement, false, 2);
    cr_assert(joined.has_value());
    const int sources = joined->member(replacement.incarnation)->syncSources;
    cr_assert_eq(sources, 3, "%d", sources);
}

// Guards against a group that never recovers after it has lost more disks than it tolerates: the
// new disks wait for more sources than there are.
Test(records_groups, two_new_disks_of_three_are_synced_by_the_last_one)
{
    RecordsFleet fleet(3, 1);
    for (const char *name : {"r2", "r3"}) {
        fleet.stopRecordsVm(QLatin1String(name), 0);
        fleet.wipe(QLatin1String(name));
    }
    fleet.run(milliseconds(300));
    fleet.startRecordsVm("r2");
    fleet.startRecordsVm("r3");
    fleet.run(milliseconds(5000));
    cr_assert_eq(fleet.storedView().syncedCount(), 3, "%s",
                 fleet.storedView().toDocument().constData());
}

// Guards against a partition in which both sides serve: a standby that had joined while the group
// lacked a disk replaced a member of the other side, although it had the records of one member
// only, and the turns that the other side had stored meanwhile were unknown afterwards.
Test(records_groups, a_standby_on_the_side_of_a_minority_replaces_nobody)
{
    RecordsFleet fleet(3, 2);
    fleet.stopRecordsVm("r3", 0);
    fleet.wipe("r3");
    fleet.run(milliseconds(300));
    fleet.startRecordsVm("r3");
    for (int waited = 0; waited < 1000; ++waited) {
        if (fleet.storedView().memberOnVm("r3")->state == MemberState::Joining)
            break;
        fleet.run(milliseconds(1));
    }
    fleet.network.pause("r3"); // so that it has not completed its copy when the other one joins
    fleet.startRecordsVm("r4");
    for (int waited = 0; waited < 1000 && fleet.storedView().memberOnVm("r4") == nullptr; ++waited)
        fleet.run(milliseconds(1));
    fleet.network.pause("r4"); // so that the other one completes its copy first
    fleet.network.resume("r3");
    fleet.run(milliseconds(1500));
    fleet.network.resume("r4");
    fleet.run(milliseconds(1500));
    const RecordsView before = fleet.storedView();
    cr_assert_eq(before.syncedCount(), 3, "%s", before.toDocument().constData());
    cr_assert_eq(before.members.size(), 4);
    cr_assert(before.isStandby(*before.memberOnVm("r4")));

    fleet.network.cutGroups({"r1", "r2", "e1"}, {"r3", "r4", "e2"});
    fleet.run(milliseconds(1000));
    const QByteArray program = "program";
    cr_assert(open(fleet, 0, turnOf(program, "t1", {}, 1000)).outcome == TurnOutcome::Ready);
    cr_assert(store(fleet, 0, turnOf(program, "t1", {}, 1000), "out"));
    // Until the members of the majority remove the silent ones, and with them the standby.
    for (int check = 0; check < 60; ++check) {
        fleet.run(milliseconds(100));
        const RecordsView view = fleet.storedView();
        const RecordsMember *standby = view.memberOnVm("r4");
        cr_assert(standby == nullptr || view.isStandby(*standby), "%s",
                  view.toDocument().constData());
    }
    const TurnAdmission continued = open(fleet, 1, turnOf(program, "t2", "t1", 1000));
    cr_assert(continued.outcome == TurnOutcome::Unavailable, "%d",
              static_cast<int>(continued.outcome));
    fleet.network.healAll();
    fleet.run(milliseconds(2000));
    cr_assert(open(fleet, 1, turnOf(program, "t3", "t1", 1000)).outcome == TurnOutcome::Ready);
}

#include "simulation/RecordsFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

TurnRequest turn(const char *request, const char *previous, std::optional<std::int64_t> budget)
{
    TurnRequest turnRequest;
    turnRequest.program = "program";
    turnRequest.request = request;
    turnRequest.team = "team";
    turnRequest.previousTurn = previous;
    turnRequest.budget = budget;
    turnRequest.maximumTokens = 100;
    turnRequest.retention = std::chrono::seconds(60);
    return turnRequest;
}

/** Opens a turn and returns the outcome. */
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

/** Stores a turn and returns whether it is durable. */
bool store(RecordsFleet &fleet, std::size_t entry, TurnRequest turnRequest, const char *input,
           const char *output)
{
    turnRequest.deadline = fleet.timers.now() + milliseconds(1500);
    std::optional<bool> isDurable;
    fleet.entryVms[entry].client->store(turnRequest, input, output, 50,
                                        [&isDurable](bool durable) { isDurable = durable; });
    fleet.run(milliseconds(1800));
    cr_assert(isDurable.has_value());
    return *isDurable;
}

} // namespace

Test(records_fleet, a_chain_is_found_from_another_vm)
{
    RecordsFleet fleet(3, 2);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    cr_assert(store(fleet, 0, turn("t2", "t1", 1000), "c", "d\n"));
    const TurnAdmission admission = open(fleet, 1, turn("t3", "t2", 1000));
    cr_assert(admission.outcome == TurnOutcome::Ready);
    cr_assert(admission.history == "ab\ncd\n");
}

Test(records_fleet, an_unknown_turn_or_one_of_another_team_does_not_exist)
{
    RecordsFleet fleet(3, 1);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    cr_assert(open(fleet, 0, turn("t2", "forged", 1000)).outcome == TurnOutcome::UnknownTurn);
    TurnRequest ofOtherTeam = turn("t3", "t1", 1000);
    ofOtherTeam.team = "others";
    cr_assert(open(fleet, 0, ofOtherTeam).outcome == TurnOutcome::UnknownTurn);
}

Test(records_fleet, a_budget_counts_reservations_and_settlements)
{
    RecordsFleet fleet(3, 2);
    cr_assert(open(fleet, 0, turn("t1", "", 250)).outcome == TurnOutcome::Ready);
    cr_assert(open(fleet, 1, turn("t2", "", 250)).outcome == TurnOutcome::Ready);
    cr_assert(open(fleet, 0, turn("t3", "", 250)).outcome == TurnOutcome::BudgetExhausted);
    fleet.entryVms[0].client->settle(turn("t3", "", 250), 0);
    fleet.entryVms[1].client->settle(turn("t2", "", 250), 10);
    fleet.run(milliseconds(100));
    cr_assert(open(fleet, 0, turn("t4", "", 250)).outcome == TurnOutcome::Ready);
}

Test(records_fleet, the_loss_of_one_member_is_tolerated)
{
    RecordsFleet fleet(3, 1);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    cr_assert(open(fleet, 0, turn("t2", "t1", 1000)).outcome == TurnOutcome::Ready);
    cr_assert(store(fleet, 0, turn("t2", "t1", 1000), "c", "d\n"));
}

Test(records_fleet, a_silent_member_delays_a_turn_only_briefly)
{
    RecordsFleet fleet(3, 1);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    // This evicts the history from the client's cache, so that it has to be fetched.
    cr_assert(store(fleet, 0, turn("big", "", 1000), QByteArray(5000, 'x').constData(), "b\n"));
    fleet.network.pause(QStringLiteral("r1"));
    std::optional<TurnAdmission> admission;
    fleet.entryVms[0].client->open(
            turn("t2", "t1", 1000),
            [&admission](const TurnAdmission &result) { admission = result; });
    fleet.run(milliseconds(60));
    cr_assert(admission.has_value(), "r1 is in the zone of the entry VM, and is asked first");
    cr_assert(admission->outcome == TurnOutcome::Ready);
    cr_assert(admission->history == "ab\n");
}

Test(records_fleet, the_loss_of_two_members_makes_turns_unavailable_not_unknown)
{
    RecordsFleet fleet(3, 1);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    cr_assert(open(fleet, 0, turn("t2", "forged", 1000)).outcome == TurnOutcome::Unavailable);
    cr_assert(!store(fleet, 0, turn("t2", "", 1000), "c", "d\n"));
}

Test(records_fleet, a_wiped_member_copies_before_it_is_synced)
{
    RecordsFleet fleet(3, 1);
    // The turn is on r1 and r2 only.
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.wipe(QStringLiteral("r1"));
    fleet.startRecordsVm(QStringLiteral("r1"));
    fleet.startRecordsVm(QStringLiteral("r3"));
    fleet.run(milliseconds(4900));
    cr_assert_eq(fleet.storedView().syncedCount(), 3);
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    const TurnAdmission admission = open(fleet, 0, turn("t2", "t1", 1000));
    cr_assert(admission.outcome == TurnOutcome::Ready);
    cr_assert(admission.history == "ab\n");
}

Test(records_fleet, a_wiped_member_that_can_not_copy_does_not_report_absence)
{
    RecordsFleet fleet(3, 1);
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.wipe(QStringLiteral("r1"));
    // Only r2 still has the turn, and no other VM can reach it.
    fleet.network.cutGroups({QStringLiteral("r2")},
                            {QStringLiteral("r1"), QStringLiteral("r3"), QStringLiteral("e1")});
    fleet.startRecordsVm(QStringLiteral("r1"));
    fleet.startRecordsVm(QStringLiteral("r3"));
    fleet.run(milliseconds(3000));
    cr_assert(open(fleet, 0, turn("t2", "t1", 1000)).outcome == TurnOutcome::Unavailable);
    fleet.network.healAll();
    fleet.run(milliseconds(3000));
    cr_assert(open(fleet, 0, turn("t3", "t1", 1000)).outcome == TurnOutcome::Ready);
}

Test(records_fleet, the_last_synced_member_continues_with_a_joining_one)
{
    RecordsFleet fleet(2, 1);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.wipe(QStringLiteral("r2"));
    fleet.network.cut(QStringLiteral("r1"), QStringLiteral("r2")); // so that r2 stays joining
    fleet.startRecordsVm(QStringLiteral("r2"));
    fleet.run(milliseconds(1000));
    cr_assert_eq(fleet.storedView().syncedCount(), 1);
    cr_assert(open(fleet, 0, turn("t2", "t1", 1000)).outcome == TurnOutcome::Ready);
    cr_assert(store(fleet, 0, turn("t2", "t1", 1000), "c", "d\n"));
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    cr_assert(open(fleet, 0, turn("t3", "t2", 1000)).outcome == TurnOutcome::Unavailable,
              "a single copy is not enough");
}

Test(records_fleet, an_entry_vm_with_a_newer_view_is_served)
{
    RecordsFleet fleet(3, 1);
    // Happens when the store recovers and the VMs' watches reconnect at different times.
    RecordsView newer = fleet.storedView();
    ++newer.number;
    fleet.entryVms[0].client->setView(newer);
    cr_assert(open(fleet, 0, turn("t1", "", 1000)).outcome == TurnOutcome::Ready);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
}

Test(records_fleet, a_new_member_replaces_a_lost_one)
{
    RecordsFleet fleet(3, 1);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(300));
    cr_assert(open(fleet, 0, turn("t2", "t1", 1000)).outcome == TurnOutcome::Ready,
              "a joining member must not block the others");
    fleet.run(milliseconds(9000));
    const RecordsView view = fleet.storedView();
    cr_assert_eq(view.syncedCount(), 3);
    cr_assert_null(view.memberOnVm(QStringLiteral("r1")));
}

Test(records_fleet, an_added_member_is_a_standby_and_raises_no_quorum)
{
    RecordsFleet fleet(3, 1);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(3000));
    cr_assert_eq(fleet.storedView().syncedCount(), 3);
    // Corresponds to the partition of both VMs of an availability zone.
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.stopRecordsVm(QStringLiteral("r4"), 0);
    cr_assert(open(fleet, 0, turn("t2", "t1", 1000)).outcome == TurnOutcome::Ready);
    cr_assert(store(fleet, 0, turn("t2", "t1", 1000), "c", "d\n"));
}

Test(records_fleet, a_standby_soon_replaces_a_lost_member)
{
    RecordsFleet fleet(3, 1);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(3000));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.run(milliseconds(4000));
    const RecordsView view = fleet.storedView();
    cr_assert_eq(view.syncedCount(), 3);
    cr_assert_null(view.memberOnVm(QStringLiteral("r1")));
    // The records of the lost member are still available after the loss of a second disk.
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    const TurnAdmission admission = open(fleet, 0, turn("t2", "t1", 1000));
    cr_assert(admission.outcome == TurnOutcome::Ready);
    cr_assert(admission.history == "ab\n");
}

Test(records_fleet, a_partitioned_standby_replaces_no_member)
{
    RecordsFleet fleet(3, 1);
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(3000));
    const std::uint64_t before = fleet.storedView().number;
    fleet.network.cutGroups({QStringLiteral("r4")},
                            {QStringLiteral("r1"), QStringLiteral("r2"), QStringLiteral("r3")});
    fleet.run(milliseconds(5000));
    fleet.network.healAll();
    fleet.run(milliseconds(2000));
    cr_assert_eq(fleet.storedView().number, before, "the standby itself was partitioned");
}

Test(records_fleet, a_retired_member_leaves_once_the_others_have_everything)
{
    RecordsFleet fleet(4, 1);
    fleet.network.cut(QStringLiteral("e1"), QStringLiteral("r2"));
    fleet.network.cut(QStringLiteral("e1"), QStringLiteral("r3"));
    fleet.run(milliseconds(1000));
    cr_assert(store(fleet, 0, turn("t1", "", std::nullopt), "a", "b\n"));
    fleet.network.healAll();
    fleet.run(milliseconds(200));
    fleet.retire(QStringLiteral("r1"));
    fleet.run(milliseconds(3000));
    cr_assert(fleet.recordsVms.at(QStringLiteral("r1")).hasLeft);
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.wipe(QStringLiteral("r1"));
    fleet.stopRecordsVm(QStringLiteral("r4"), 0);
    const TurnAdmission admission = open(fleet, 0, turn("t2", "t1", 1000));
    cr_assert(admission.outcome == TurnOutcome::Ready);
    cr_assert(admission.history == "ab\n");
}

Test(records_fleet, a_member_is_retired_while_turns_keep_coming)
{
    RecordsFleet fleet(3, 1);
    fleet.startRecordsVm(QStringLiteral("r4"));
    fleet.run(milliseconds(3000));
    fleet.retire(QStringLiteral("r4"));
    // There is always a new reservation between two requests of the other members.
    for (int request = 0; request < 800; ++request) {
        const QByteArray name = "t" + QByteArray::number(request);
        fleet.entryVms[0].client->open(turn(name.constData(), "", 1000),
                                       [](const TurnAdmission &) {});
        fleet.run(milliseconds(5));
    }
    cr_assert(fleet.recordsVms.at(QStringLiteral("r4")).hasLeft);
}

Test(records_fleet, a_teams_burst_survives_a_crash_of_all_members)
{
    RecordsFleet fleet(3, 3);
    GatewayTeam team;
    team.name = "team";
    team.requestsPerSecond = 60;
    team.burst = 90;
    int admitted = 0;
    const auto sendRequests = [&](int count) {
        for (RecordsFleet::EntryVm &entry : fleet.entryVms) {
            for (int request = 0; request < count; ++request)
                entry.quota->take({team, 0}, [&admitted](const QuotaDecision &answer) {
                    admitted += answer.admitted ? 1 : 0;
                });
        }
    };
    // Light load over all members, until their buckets are full and their floors are on disk.
    for (int round = 0; round < 80; ++round) {
        sendRequests(1);
        fleet.run(milliseconds(100));
    }
    for (const char *name : {"r1", "r2", "r3"})
        fleet.stopRecordsVm(QLatin1String(name), 0);
    fleet.run(milliseconds(500));
    for (const char *name : {"r1", "r2", "r3"})
        fleet.startRecordsVm(QLatin1String(name));
    admitted = 0;
    for (int round = 0; round < 150; ++round) {
        sendRequests(1);
        fleet.run(milliseconds(10));
    }
    fleet.run(milliseconds(1000));
    // Two and a half seconds at the rate, and at least a quarter of the burst.
    cr_assert_geq(admitted, 150 + 22, "%d", admitted);
}

Test(records_fleet, admits_again_as_soon_as_a_lease_is_renewed)
{
    RecordsFleet fleet(3, 1);
    GatewayTeam team;
    team.name = "team";
    team.requestsPerSecond = 60;
    team.burst = 90;
    int admitted = 0;
    const auto sendRequests = [&] {
        fleet.entryVms[0].quota->take({team, 0}, [&admitted](const QuotaDecision &answer) {
            admitted += answer.admitted ? 1 : 0;
        });
        fleet.run(milliseconds(50));
    };
    for (int round = 0; round < 20; ++round)
        sendRequests();
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    fleet.run(milliseconds(1500));
    admitted = 0;
    for (int round = 0; round < 20; ++round)
        sendRequests();
    cr_assert_eq(admitted, 0, "one of three alone may have been replaced");
    fleet.startRecordsVm(QStringLiteral("r2"));
    fleet.startRecordsVm(QStringLiteral("r3"));
    fleet.run(milliseconds(800));
    admitted = 0;
    for (int round = 0; round < 20; ++round)
        sendRequests();
    cr_assert_geq(admitted, 15, "%d", admitted);
}

Test(records_fleet, continues_while_the_store_is_unavailable)
{
    RecordsFleet fleet(3, 1);
    fleet.storeServer->setDown(true);
    cr_assert(store(fleet, 0, turn("t1", "", 1000), "a", "b\n"));
    fleet.stopRecordsVm(QStringLiteral("r1"), 0);
    fleet.startRecordsVm(QStringLiteral("r1"));
    fleet.run(milliseconds(2000));
    fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    cr_assert(open(fleet, 0, turn("t2", "t1", 1000)).outcome == TurnOutcome::Ready,
              "a member that restarted on its disk needs no new view");
}

#include "lacewingmux_records/messages/RecordsCodec.h"
#include "simulation/RecordsFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds retention{60000};

TurnRequest turn(const RecordsFleet &fleet, const char *request, const char *previous,
                 milliseconds callTime)
{
    TurnRequest created;
    created.program = "program";
    created.request = request;
    created.team = "team";
    created.previousTurn = previous;
    created.maximumTokens = 100;
    created.retention = retention;
    created.deadline = fleet.timers.now() + callTime;
    return created;
}

/** Opens a turn that continues the previous one at an entry VM. */
TurnOutcome outcomeOf(RecordsFleet &fleet, std::size_t entry, const char *previous)
{
    std::optional<TurnOutcome> outcome;
    fleet.entryVms[entry].client->open(
            turn(fleet, "next", previous, milliseconds(1500)),
            [&outcome](const TurnAdmission &admission) { outcome = admission.outcome; });
    fleet.run(milliseconds(1200));
    cr_assert(outcome.has_value());
    return *outcome;
}

} // namespace

// Guards against a 404 for a turn that was answered whole less than its retention ago, as its time
// ran from the first attempt to store it.
Test(turn_retention, runs_from_the_end_of_a_response_that_waited_for_the_records_vms)
{
    RecordsFleet fleet(3, 2);
    fleet.network.pause(QStringLiteral("r2"));
    fleet.network.pause(QStringLiteral("r3"));
    bool isDurable = false;
    fleet.entryVms[0].client->store(turn(fleet, "t1", "", milliseconds(40000)), "a", "b\n", 50,
                                    [&isDurable](bool stored) { isDurable = stored; });
    fleet.run(milliseconds(30000));
    cr_assert(!isDurable);
    fleet.network.resume(QStringLiteral("r2"));
    fleet.network.resume(QStringLiteral("r3"));
    fleet.run(milliseconds(400));
    cr_assert(isDurable);
    fleet.run(retention - milliseconds(500));
    cr_assert(outcomeOf(fleet, 1, "t1") == TurnOutcome::Ready);
}

Test(turn_retention, allows_for_an_entry_vm_whose_clock_is_behind)
{
    RecordsFleet fleet(3, 2);
    constexpr milliseconds clockDifference{15000};
    Record record;
    record.key = "t1";
    record.program = "program";
    record.team = "team";
    record.input = "a";
    record.output = "b\n";
    record.expires = fleet.timers.wallNow() - clockDifference + retention;
    const RecordsView view = fleet.storedView();
    for (const RecordsMember &member : view.members)
        fleet.entryVms[0].hub->send(member.vm.incarnation, {FrameKind::WriteRecords, view.number, 1,
                                                            RecordsCodec::encodeRecords({record})});
    fleet.run(retention - milliseconds(500));
    cr_assert(outcomeOf(fleet, 1, "t1") == TurnOutcome::Ready);
}

Test(turn_retention, ends)
{
    RecordsFleet fleet(3, 2);
    fleet.entryVms[0].client->store(turn(fleet, "t1", "", milliseconds(1500)), "a", "b\n", 50,
                                    [](bool) {});
    fleet.run(milliseconds(90000));
    cr_assert(outcomeOf(fleet, 1, "t1") == TurnOutcome::UnknownTurn);
}

#include "lacewingmux_records/log/RecordIndex.h"
#include "simulation/RecordsFleet.h"
#include "simulation/RecordsVmOnDisk.h"

#include <criterion/criterion.h>

#include <QTemporaryDir>

using namespace lacewingmux;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TurnRequest turnOf(const RecordsFleet &fleet, int number)
{
    TurnRequest turn;
    turn.program = "program";
    turn.request = "t" + QByteArray::number(number);
    turn.team = "team";
    turn.previousTurn = number == 0 ? QByteArray() : "t" + QByteArray::number(number - 1);
    turn.retention = seconds(60);
    turn.deadline = fleet.timers.now() + milliseconds(1500);
    return turn;
}

/** Stores one turn of a chain every ten seconds. */
void storeChain(RecordsFleet &fleet, int first, int end)
{
    for (int number = first; number < end; ++number) {
        bool isDurable = false;
        fleet.entryVms[0].client->store(turnOf(fleet, number), "a", "b\n", 50,
                                        [&isDurable](bool stored) { isDurable = stored; });
        fleet.run(seconds(10));
        cr_assert(isDurable);
    }
}

/** Opens the turn with this number at an entry VM that has cached none of its chain. */
TurnAdmission openElsewhere(RecordsFleet &fleet, int number)
{
    std::optional<TurnAdmission> admission;
    fleet.entryVms[1].client->open(
            turnOf(fleet, number),
            [&admission](const TurnAdmission &result) { admission = result; });
    fleet.run(milliseconds(1200));
    cr_assert(admission.has_value());
    return *admission;
}

Record turnRecord(int number, int parent, seconds timeLeft, qsizetype bytes = 10)
{
    Record record;
    record.key = "t" + QByteArray::number(number);
    record.program = "program";
    record.team = "team";
    if (parent >= 0)
        record.parent = "t" + QByteArray::number(parent);
    record.input = QByteArray(bytes, 'i');
    record.output = "o";
    record.expires = std::chrono::system_clock::now() + timeLeft;
    return record;
}

} // namespace

// Guards against a chain that can't be continued through another entry VM, since its first turns
// expired one by one.
Test(chain_lifetime, a_chain_lives_as_long_as_its_last_turn)
{
    RecordsFleet fleet(3, 2);
    constexpr int turns = 12;
    storeChain(fleet, 0, turns);
    fleet.run(seconds(48));
    const TurnAdmission admission = openElsewhere(fleet, turns);
    cr_assert(admission.outcome == TurnOutcome::Ready);
    cr_assert_eq(admission.history.count("ab\n"), turns);
}

Test(chain_lifetime, a_chain_ends_with_its_last_turn)
{
    RecordsFleet fleet(3, 2);
    storeChain(fleet, 0, 10);
    fleet.run(seconds(75));
    cr_assert(openElsewhere(fleet, 10).outcome == TurnOutcome::UnknownTurn);
}

Test(chain_lifetime, a_replaced_member_has_the_whole_chain)
{
    RecordsFleet fleet(3, 2);
    constexpr int turns = 12;
    storeChain(fleet, 0, turns);
    fleet.stopRecordsVm(QStringLiteral("r3"), 0);
    fleet.wipe(QStringLiteral("r3"));
    fleet.startRecordsVm(QStringLiteral("r3"));
    fleet.run(seconds(10));
    cr_assert_eq(fleet.storedView().syncedCount(), 3);
    fleet.network.pause(QStringLiteral("r1"));
    fleet.network.pause(QStringLiteral("r2"));
    fleet.run(seconds(30));
    const TurnAdmission admission = openElsewhere(fleet, turns);
    cr_assert(admission.outcome == TurnOutcome::Ready);
    cr_assert_eq(admission.history.count("ab\n"), turns);
}

Test(chain_lifetime, a_chain_outlives_the_log_file_of_its_first_turns)
{
    const QTemporaryDir folder;
    const auto logBytes = [&folder] { return logBytesIn(folder.path()); };
    constexpr qsizetype mebibyte = qsizetype{1024} * 1024;
    {
        RecordsVmOnDisk vm(folder.path());
        std::vector<Record> records = {turnRecord(0, -1, seconds(-30)),
                                       turnRecord(1, 0, seconds(-30))};
        // Ended chains, which fill two log files.
        for (int number = 100; number < 118; ++number)
            records.push_back(turnRecord(number, -1, seconds(-30), mebibyte));
        records.push_back(turnRecord(2, 1, seconds(60)));
        vm.write(records);
        cr_assert_gt(logBytes(), 18 * mebibyte);
        vm.loop.waitUntil([&logBytes] { return logBytes() < 4 * mebibyte; },
                          "the removal of the ended chains");
        const OpenTurnReplyMessage reply = vm.open("t2");
        cr_assert(reply.chain == ChainStatus::Found);
        cr_assert_eq(reply.history.count('o'), 3);
        cr_assert(vm.open("t117").chain == ChainStatus::Absent);
    }
    RecordsVmOnDisk restarted(folder.path());
    const OpenTurnReplyMessage reply = restarted.open("t2");
    cr_assert(reply.chain == ChainStatus::Found);
    cr_assert_eq(reply.history.count('o'), 3);
}

Test(chain_lifetime, turns_may_be_copied_in_any_order)
{
    const auto now = std::chrono::system_clock::now();
    RecordIndex index;
    index.add(turnRecord(2, 1, seconds(60)), 1);
    index.dropExpired(now);
    index.add(turnRecord(0, -1, seconds(-30)), 2);
    index.add(turnRecord(1, 0, seconds(-30)), 3);
    index.dropExpired(now);
    cr_assert_eq(index.chain("t2", "team", now).sequences.size(), 3);
    index.dropExpired(now + seconds(61));
    cr_assert_eq(index.size(), 0);
}

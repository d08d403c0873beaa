#include "simulation/RecordsFleet.h"
#include "simulation/RecordsVmOnDisk.h"

#include <QTemporaryDir>

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a conversation being accepted and stored that is longer than one frame between
// VMs, and that no other entry VM can continue.

namespace {

constexpr qsizetype inputBytes = 3'700'000;
constexpr int turnsAboveFrameLimit = 5;

QByteArray turnName(const QByteArray &program, int number)
{
    return program + '-' + QByteArray::number(number);
}

TurnRequest turnOf(const QByteArray &program, int number)
{
    TurnRequest turn;
    turn.program = program;
    turn.request = turnName(program, number);
    turn.team = "team";
    turn.previousTurn = number > 1 ? turnName(program, number - 1) : QByteArray();
    turn.budget = 100000;
    turn.maximumTokens = 100;
    turn.retention = std::chrono::seconds(60);
    return turn;
}

/** Stores so many turns of a program through the first entry VM; returns their history. */
QByteArray storeTurns(RecordsFleet &fleet, const QByteArray &program, int count)
{
    QByteArray history;
    for (int number = 1; number <= count; ++number) {
        TurnRequest turn = turnOf(program, number);
        turn.deadline = fleet.timers.now() + std::chrono::seconds(5);
        const QByteArray input(inputBytes + number, static_cast<char>('a' + number));
        bool isDurable = false;
        fleet.entryVms[0].client->store(turn, input, "answer\n", 50,
                                        [&isDurable](bool durable) { isDurable = durable; });
        fleet.run(milliseconds(200));
        cr_assert(isDurable);
        history += input + "answer\n";
    }
    return history;
}

/** Opens the turn after so many others through the second entry VM. */
void openNext(RecordsFleet &fleet, const QByteArray &program, int count,
              std::optional<TurnAdmission> &admission)
{
    TurnRequest turn = turnOf(program, count + 1);
    turn.deadline = fleet.timers.now() + std::chrono::seconds(5);
    fleet.entryVms[1].client->open(
            turn, [&admission](const TurnAdmission &result) { admission = result; });
}

} // namespace

Test(long_history, is_continued_at_another_vm)
{
    RecordsFleet fleet(3, 2);
    const QByteArray history = storeTurns(fleet, "p", turnsAboveFrameLimit);
    std::optional<TurnAdmission> admission;
    openNext(fleet, "p", turnsAboveFrameLimit, admission);
    fleet.run(milliseconds(1200));
    cr_assert(admission.has_value());
    cr_assert(admission->outcome == TurnOutcome::Ready);
    cr_assert(admission->history == history);
}

// Guards against a history that is lost with the VM that has sent half of it.
Test(long_history, is_continued_while_records_vms_pause_and_stop)
{
    for (const bool isStopped : {false, true}) {
        RecordsFleet fleet(3, 2);
        const QByteArray history = storeTurns(fleet, "p", turnsAboveFrameLimit);
        fleet.network.setDeliveryDelay(milliseconds(10));
        fleet.network.setDetectionDelay(std::chrono::seconds(3));
        std::optional<TurnAdmission> admission;
        openNext(fleet, "p", turnsAboveFrameLimit, admission);
        fleet.run(milliseconds(150));
        cr_assert(!admission.has_value());
        if (isStopped)
            fleet.stopRecordsVm(QStringLiteral("r1"), 0);
        else
            fleet.network.pause(QStringLiteral("r1"));
        fleet.run(std::chrono::seconds(2));
        cr_assert(admission.has_value());
        cr_assert(admission->outcome == TurnOutcome::Ready);
        cr_assert(admission->history == history);
    }
}

// Guards against long conversations that wait for each other being given up.
Test(long_history, is_continued_beside_others)
{
    RecordsFleet fleet(3, 2);
    const std::vector<QByteArray> programs{"p", "q", "r", "s"};
    std::vector<QByteArray> histories;
    histories.reserve(programs.size());
    for (const QByteArray &program : programs)
        histories.push_back(storeTurns(fleet, program, 3));
    fleet.network.setDeliveryDelay(milliseconds(15)); // 0.3 s for each
    std::vector<std::optional<TurnAdmission>> admissions(programs.size());
    for (std::size_t number = 0; number < programs.size(); ++number)
        openNext(fleet, programs[number], 3, admissions[number]);
    fleet.run(std::chrono::seconds(3));
    for (std::size_t number = 0; number < programs.size(); ++number) {
        cr_assert(admissions[number].has_value());
        cr_assert(admissions[number]->outcome == TurnOutcome::Ready);
        cr_assert(admissions[number]->history == histories[number]);
    }
}

// Guards against an entry VM running out of memory.
Test(long_history, is_not_fetched_above_the_limit_of_the_vm)
{
    RecordsFleet fleet(3, 2);
    const int count = static_cast<int>(RecordsFleet::maximumHistoryBytes / inputBytes) + 1;
    storeTurns(fleet, "p", count);
    std::optional<TurnAdmission> admission;
    openNext(fleet, "p", count, admission);
    fleet.run(milliseconds(1200));
    cr_assert(admission.has_value());
    cr_assert(admission->outcome == TurnOutcome::HistoryTooLong);
}

// Guards against a turn that no frame can carry waiting for its deadline.
Test(long_history, ends_before_a_turn_that_is_too_long_to_be_stored)
{
    RecordsFleet fleet(3, 1);
    std::optional<bool> isDurable;
    TurnRequest turn = turnOf("p", 1);
    turn.deadline = fleet.timers.now() + std::chrono::seconds(5);
    fleet.entryVms[0].client->store(turn, QByteArray(RecordsClient::maximumTurnBytes, 'a'), "b", 50,
                                    [&isDurable](bool durable) { isDurable = durable; });
    cr_assert(isDurable.has_value());
    cr_assert(!*isDurable);
}

namespace {

Record recordOf(const QByteArray &program, int number, const QByteArray &input)
{
    Record record;
    record.key = turnName(program, number);
    record.program = program;
    record.team = "team";
    record.parent = number > 1 ? turnName(program, number - 1) : QByteArray();
    record.input = input;
    record.output = "answer\n";
    record.expires = std::chrono::system_clock::now() + std::chrono::minutes(10);
    return record;
}

} // namespace

// An entry VM of an earlier version states no limit and can't fetch parts.
Test(long_history, is_sent_in_whole_to_a_vm_that_fetches_no_parts)
{
    const QTemporaryDir folder;
    RecordsVmOnDisk vm(folder.path());
    vm.write({recordOf("short", 1, "input")});
    for (int number = 1; number <= turnsAboveFrameLimit; ++number)
        vm.write({recordOf("long", number, QByteArray(inputBytes, 'x'))});
    const auto replyTo = [&vm](const QByteArray &previousTurn, qsizetype maximumHistoryBytes) {
        OpenTurnMessage message;
        message.team = "team";
        message.previousTurn = previousTurn;
        message.wantsHistory = true;
        message.maximumHistoryBytes = maximumHistoryBytes;
        return vm.open(message);
    };
    cr_assert(replyTo("short-1", 0).history == "inputanswer\n");
    cr_assert(replyTo("long-4", 0).history.size() == 4 * (inputBytes + 7));
    cr_assert(replyTo("long-5", 0).chain == ChainStatus::Incomplete);
    const OpenTurnReplyMessage inParts = replyTo("long-1", 1024);
    cr_assert(inParts.chain == ChainStatus::Found && inParts.historyInParts);
    cr_assert(inParts.history.isEmpty());
}

#include "lacewingmux_records/log/RecordIndex.h"
#include "simulation/RecordsVmOnDisk.h"

#include <criterion/criterion.h>

#include <QTemporaryDir>

using namespace lacewingmux;
using std::chrono::seconds;

namespace {

constexpr qsizetype mebibyte = qsizetype{1024} * 1024;

Record recordOf(RecordKind kind, const QByteArray &key, std::int64_t tokens, seconds timeLeft,
                qsizetype bytes = 0)
{
    Record record;
    record.kind = kind;
    record.key = key;
    record.program = "program";
    record.team = "team";
    record.tokens = tokens;
    record.input = QByteArray(bytes, 'i');
    record.expires = std::chrono::system_clock::now() + timeLeft;
    return record;
}

std::int64_t tokensOf(const std::vector<ReservationState> &reservations)
{
    std::int64_t tokens = 0;
    for (const ReservationState &state : reservations)
        tokens += state.tokens;
    return tokens;
}

std::int64_t tokensAt(RecordsVmOnDisk &vm)
{
    OpenTurnMessage message;
    message.team = "team";
    message.reservation = recordOf(RecordKind::Reservation, "next", 1, seconds(60));
    return tokensOf(vm.open(message).reservations);
}

} // namespace

// Guards against a restart that forgets what a running program has spent, as log files with its
// reservations had been removed.
Test(budget_lifetime, what_a_running_program_spent_outlives_the_log_file_and_a_restart)
{
    const QTemporaryDir folder;
    const auto logBytes = [&folder] { return logBytesIn(folder.path()); };
    std::vector<Record> records;
    for (int number = 0; number < 18; ++number) {
        const QByteArray key = "t" + QByteArray::number(number);
        records.push_back(recordOf(RecordKind::Reservation, key, 200, seconds(-30)));
        records.push_back(recordOf(RecordKind::Turn, key, 100, seconds(-30), mebibyte));
    }
    records.push_back(recordOf(RecordKind::Reservation, "unsettled", 200, seconds(-30)));
    records.push_back(recordOf(RecordKind::Reservation, "last", 50, seconds(60)));
    {
        RecordsVmOnDisk vm(folder.path());
        vm.write(records);
        vm.loop.waitUntil([&logBytes] { return logBytes() < 4 * mebibyte; },
                          "the removal of the texts");
        cr_assert_eq(tokensAt(vm), 18 * 100 + 200 + 50);
    }
    RecordsVmOnDisk restarted(folder.path());
    cr_assert_eq(tokensAt(restarted), 18 * 100 + 200 + 50);
}

Test(budget_lifetime, is_that_of_the_program)
{
    const auto now = std::chrono::system_clock::now();
    RecordIndex index;
    index.add(recordOf(RecordKind::Reservation, "t1", 200, seconds(-30)), 1);
    index.add(recordOf(RecordKind::Settlement, "t1", 100, seconds(-30)), 2);
    index.add(recordOf(RecordKind::Reservation, "t2", 200, seconds(60)), 3);
    index.dropExpired(now);
    cr_assert_eq(index.namesAfter(0, 10).size(), 3, "a joining VM copies all of them");
    index.dropExpired(now + seconds(61));
    cr_assert_eq(index.size(), 0);
}

#include "loops/EventLoop.h"

#include "lacewingmux_records/log/SegmentedLog.h"

#include <criterion/criterion.h>

#include <QDir>
#include <QFile>
#include <QTemporaryDir>

#include <cstdint>
#include <limits>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t noneNeeded = std::numeric_limits<std::uint64_t>::max();

Record record(int number, qsizetype bytes = 100)
{
    Record created;
    created.key = "turn-" + QByteArray::number(number);
    created.program = "program";
    created.input = QByteArray(bytes, static_cast<char>('a' + number % 26));
    created.expires = std::chrono::system_clock::now() + std::chrono::hours(1);
    return created;
}

/** Appends the records and waits until they are on disk. */
void appendAll(EventLoop &loop, SegmentedLog &log, int first, int count, qsizetype bytes = 100)
{
    std::uint64_t last = 0;
    for (int number = first; number < first + count; ++number)
        last = log.append(record(number, bytes));
    bool durable = false;
    log.whenDurable(last, [&durable] { durable = true; });
    loop.waitUntil([&durable] { return durable; }, "the records on disk");
}

std::vector<QByteArray> keysIn(const QString &folder, EventLoop &loop)
{
    std::vector<QByteArray> keys;
    SegmentedLog log(folder, loop.timers);
    log.replay([&keys](std::uint64_t sequence, const Record &found) {
        cr_assert_eq(sequence, keys.size() + 1);
        keys.push_back(found.key);
    });
    return keys;
}

QString newestNonEmptySegment(const QString &folder)
{
    const QDir directory(folder);
    for (const QString &name :
         directory.entryList({QStringLiteral("*.log")}, QDir::Files, QDir::Name | QDir::Reversed)) {
        if (QFile(directory.filePath(name)).size() > 0)
            return directory.filePath(name);
    }
    return {};
}

} // namespace

Test(segmented_log, replays_what_was_durable)
{
    EventLoop loop;
    const QTemporaryDir folder;
    {
        SegmentedLog log(folder.path(), loop.timers);
        log.replay([](auto, const auto &) { cr_assert_fail("an empty folder holds no records"); });
        appendAll(loop, log, 0, 50);
        cr_assert(log.read(17)->input == record(16).input);
    }
    const auto keys = keysIn(folder.path(), loop);
    cr_assert_eq(keys.size(), 50);
    cr_assert(keys[49] == "turn-49");
}

Test(segmented_log, can_be_read_before_it_is_on_disk)
{
    EventLoop loop;
    const QTemporaryDir folder;
    SegmentedLog log(folder.path(), loop.timers);
    log.replay([](auto, const auto &) {});
    const std::uint64_t sequence = log.append(record(3));
    cr_assert(log.read(sequence)->key == "turn-3");
}

Test(segmented_log, a_torn_tail_is_dropped_wherever_it_is_cut)
{
    EventLoop loop;
    const QTemporaryDir folder;
    {
        SegmentedLog log(folder.path(), loop.timers);
        log.replay([](auto, const auto &) {});
        appendAll(loop, log, 0, 3);
    }
    QFile file(newestNonEmptySegment(folder.path()));
    cr_assert(file.open(QIODevice::ReadWrite));
    const QByteArray completeSegment = file.readAll();
    const qsizetype entry = completeSegment.size() / 3;
    for (qsizetype length = entry * 2; length < completeSegment.size(); ++length) {
        cr_assert(file.resize(length));
        const auto keys = keysIn(folder.path(), loop);
        cr_assert_eq(keys.size(), 2, "cut at %d", static_cast<int>(length));
    }
}

Test(segmented_log, a_corrupt_byte_ends_its_segment_but_not_the_next_one)
{
    EventLoop loop;
    const QTemporaryDir folder;
    for (int start = 0; start < 2; ++start) {
        SegmentedLog log(folder.path(), loop.timers);
        log.replay([](auto, const auto &) {});
        appendAll(loop, log, start * 3, 3);
    }
    const QDir directory(folder.path());
    const QString first =
            directory.entryList({QStringLiteral("*.log")}, QDir::Files, QDir::Name)[0];
    QFile file(directory.filePath(first));
    cr_assert(file.open(QIODevice::ReadWrite));
    QByteArray bytes = file.readAll();
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 0x20);
    file.seek(0);
    file.write(bytes);
    file.close();
    const auto keys = keysIn(folder.path(), loop);
    cr_assert_eq(keys.size(), 4);
    cr_assert(keys[0] == "turn-0");
    cr_assert(keys[1] == "turn-3");
}

Test(segmented_log, replays_from_indexes_as_from_the_segments)
{
    EventLoop loop;
    const QTemporaryDir folder;
    constexpr int count = 40;
    {
        SegmentedLog log(folder.path(), loop.timers);
        log.replay([](auto, const auto &) {});
        appendAll(loop, log, 0, count, qsizetype{512} * 1024);
    }
    const QDir directory(folder.path());
    const QStringList indexes = directory.entryList({QStringLiteral("*.index")}, QDir::Files);
    cr_assert_geq(indexes.size(), 2, "one for each full segment");
    const auto replayed = [&](qsizetype expectedBodies) {
        SegmentedLog log(folder.path(), loop.timers);
        qsizetype bodies = 0;
        int records = 0;
        log.replay([&](std::uint64_t, const Record &found) {
            bodies += found.input.isEmpty() ? 0 : 1;
            cr_assert(found.key == record(records++).key);
        });
        cr_assert_eq(records, count);
        cr_assert_eq(bodies, expectedBodies, "%d", static_cast<int>(bodies));
        for (int number = 0; number < count; ++number)
            cr_assert(log.read(number + 1)->input == record(number, qsizetype{512} * 1024).input);
    };
    replayed(8); // those of the last segment, which has an index from now on
    replayed(0);
    // A torn index is ignored, and its segment is read instead.
    QFile torn(directory.filePath(indexes[0]));
    cr_assert(torn.resize(torn.size() - 1));
    replayed(16);
}

Test(segmented_log, detects_a_damaged_body_despite_a_valid_index)
{
    EventLoop loop;
    const QTemporaryDir folder;
    {
        SegmentedLog log(folder.path(), loop.timers);
        log.replay([](auto, const auto &) {});
        appendAll(loop, log, 0, 20, qsizetype{512} * 1024);
    }
    const QDir directory(folder.path());
    QFile file(directory.filePath(
            directory.entryList({QStringLiteral("*.log")}, QDir::Files, QDir::Name)[0]));
    cr_assert(file.open(QIODevice::ReadWrite));
    cr_assert(file.seek(1000));
    file.write("?");
    file.close();
    SegmentedLog log(folder.path(), loop.timers);
    log.replay([](auto, const auto &) {});
    cr_assert(!log.read(1).has_value());
    cr_assert(log.read(2).has_value());
}

Test(segmented_log, drops_segments_whose_records_have_all_expired)
{
    EventLoop loop;
    const QTemporaryDir folder;
    SegmentedLog log(folder.path(), loop.timers);
    log.replay([](auto, const auto &) {});
    appendAll(loop, log, 0, 40, qsizetype{512} * 1024);
    const QDir directory(folder.path());
    const auto fileCount = [&directory] {
        return directory.entryList({QStringLiteral("*.log")}, QDir::Files).size();
    };
    cr_assert_gt(fileCount(), 2);
    log.dropExpired(std::chrono::system_clock::now(), noneNeeded);
    cr_assert_gt(fileCount(), 2);
    log.dropExpired(std::chrono::system_clock::now() + std::chrono::hours(2), noneNeeded);
    cr_assert_eq(fileCount(), 1);
    cr_assert(!log.read(1).has_value());
    const std::uint64_t next = log.append(record(99));
    cr_assert(log.read(next)->key == "turn-99");
}

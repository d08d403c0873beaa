#pragma once

#include "lacewingmux_core/threads/ThreadQueue.h"
#include "lacewingmux_records/log/DurableLog.h"
#include "lacewingmux_records/log/SegmentIndex.h"

#include <QByteArray>
#include <QString>
#include <QThread>

#include <deque>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace lacewingmux {

class TimerService;

/**
    A log in files below one folder, each entry with its length and a CRC-32.

    A thread of its own writes and syncs; all records that were appended while it synced go into
    the next sync together. After a crash each file counts up to its first entry that is torn or
    missing: nothing behind it had been acknowledged. Every start begins a new file. A file is
    removed as a whole when all its records have expired. A file that gets no more records has an
    index beside it where that spares reading bodies; without a sound one, it is read itself.
*/
class SegmentedLog final : public DurableLog
{
public:
    /** Uses the folder, which must exist. Throws LacewingmuxError when it can't be used. */
    SegmentedLog(const QString &folderPath, TimerService &timerService);
    ~SegmentedLog() override;

    void replay(const ReplayFunction &report) override;
    std::uint64_t append(const Record &record) override;
    void whenDurable(std::uint64_t sequence, std::function<void()> callback) override;
    [[nodiscard]] std::optional<Record> read(std::uint64_t sequence) override;
    void dropExpired(std::chrono::system_clock::time_point now) override;

private:
    /** One file of the log. */
    struct Segment
    {
        std::uint64_t number = 0;
        int descriptor = -1;
        qint64 bytes = 0; ///< with what is still to be written
        std::chrono::system_clock::time_point lastExpiry;
        std::uint64_t lastSequence = 0;
        SegmentIndex index;   ///< until it is on disk
        bool indexing = true; ///< until its records turn out to be too small for an index
    };

    /** Where the payload of a record lies. */
    struct Position
    {
        std::uint64_t segment = 0;
        qint64 offset = 0;
        qint64 bytes = 0;
    };

    /** What one pass of the disk thread writes. */
    struct Batch
    {
        int descriptor = -1;
        QByteArray bytes;
        std::uint64_t lastSequence = 0;
    };

    void replaySegment(std::uint64_t number, const ReplayFunction &report);
    [[nodiscard]] bool replayIndex(Segment &segment, const ReplayFunction &report);
    void replayEntries(Segment &segment, const ReplayFunction &report);
    static void addToIndex(Segment &segment, const Record &record, qint64 payloadBytes);
    [[nodiscard]] static bool isWorthIndexing(const Segment &segment);
    void writeIndexes();
    void openSegment(std::uint64_t number);
    void startBatch();
    void batchWritten(std::uint64_t sequence);
    void noteRecord(Segment &segment, const Record &record, qint64 offset, qint64 bytes);
    [[nodiscard]] QString pathOf(std::uint64_t number, const char *suffix) const;
    static void writeAll(const Batch &batch);
    static void writeIndex(const QString &path, const QByteArray &bytes);

    QString folder;
    TimerService &timers;
    std::map<std::uint64_t, Segment> segments; ///< the last one is being written
    std::deque<Position> positions;            ///< of the records from firstKept on
    std::uint64_t firstKept = 1;
    std::uint64_t nextSequence = 1;
    std::uint64_t durable = 0;               ///< all records up to this one are on disk
    std::vector<std::uint64_t> withoutIndex; ///< files that get no more records, oldest first
    std::deque<Batch> waiting;
    bool writing = false;
    std::deque<std::pair<std::uint64_t, QByteArray>> unwritten; ///< payloads, for read()
    std::multimap<std::uint64_t, std::function<void()>> waiters;
    QThread diskThread;
    ThreadQueue diskQueue;
    std::shared_ptr<char> lifetime = std::make_shared<char>();
};

} // namespace lacewingmux

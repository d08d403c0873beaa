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
    A log in segment files in one folder. Each entry has a length and a CRC-32.

    A dedicated thread writes and syncs; all records appended during a sync are written together in
    the next one. After a crash, each segment is valid up to its first torn or missing entry, as
    nothing after it had been acknowledged. Every start begins a new segment. A segment is removed
    once all its records have expired and none is needed any more. A segment that receives no more
   records has an index file if this avoids reading bodies; without a valid index, the segment
   itself is read.
*/
class SegmentedLog final : public DurableLog
{
public:
    /** The folder must exist. replay() and append() throw LacewingmuxError if it is unusable. */
    SegmentedLog(const QString &folderPath, TimerService &timerService);
    ~SegmentedLog() override;

    void replay(const ReplayFunction &report) override;
    std::uint64_t append(const Record &record) override;
    void whenDurable(std::uint64_t sequence, std::function<void()> callback) override;
    [[nodiscard]] std::optional<Record> read(std::uint64_t sequence) override;
    [[nodiscard]] std::uint64_t
    expiredUpTo(std::chrono::system_clock::time_point before) const override;
    void dropExpired(std::chrono::system_clock::time_point before,
                     std::uint64_t firstNeeded) override;

private:
    struct Segment
    {
        std::uint64_t number = 0;
        int descriptor = -1;
        qint64 bytes = 0; ///< including what is not written yet
        std::chrono::system_clock::time_point lastExpiry;
        std::uint64_t lastSequence = 0;
        SegmentIndex index;    ///< in memory until it is written
        bool isIndexed = true; ///< false once its records prove too small for an index
    };

    /** The location of a record's payload. */
    struct Position
    {
        std::uint64_t segment = 0;
        qint64 offset = 0;
        qint64 bytes = 0;
    };

    /** Entries that the disk thread writes and syncs together. */
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
    void handleBatchWritten(std::uint64_t sequence);
    void registerRecord(Segment &segment, const Record &record, qint64 offset, qint64 bytes);
    [[nodiscard]] QString pathOf(std::uint64_t number, const char *suffix) const;
    static void writeAll(const Batch &batch);
    static void writeIndex(const QString &path, const QByteArray &bytes);

    QString folder;
    TimerService &timers;
    std::map<std::uint64_t, Segment> segments; ///< the last one is open for appends
    std::deque<Position> positions;            ///< of the records from firstSequence on
    std::uint64_t firstSequence = 1;
    std::uint64_t nextSequence = 1;
    std::uint64_t durableSequence = 0;               ///< all records up to this one are on disk
    std::vector<std::uint64_t> segmentsWithoutIndex; ///< closed segments, oldest first
    std::deque<Batch> queuedBatches;
    bool isWriting = false;
    std::deque<std::pair<std::uint64_t, QByteArray>> unsyncedPayloads; ///< payloads for read()
    std::multimap<std::uint64_t, std::function<void()>> durableCallbacks;
    QThread diskThread;
    ThreadQueue diskQueue;
    /** Expires with this object, so that callbacks can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

} // namespace lacewingmux

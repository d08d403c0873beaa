#include "lacewingmux_records/log/SegmentedLog.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_records/log/LogChecksum.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <QDir>
#include <QFile>
#include <QFileInfo>
#include <QtEndian>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <iterator>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace lacewingmux {

namespace {

constexpr qint64 segmentBytes = qint64{8} * 1024 * 1024; // a few seconds at full load
constexpr qint64 headerBytes = 8;                        // length and checksum
constexpr const char *segmentSuffix = ".log";
constexpr const char *indexSuffix = ".index";
// An index must be this many times smaller than its segment. Small records have no bodies, so
// reading the segment itself is faster than reading an index of similar size.
constexpr qint64 minimumIndexRatio = 4;
// The ratio is checked only beyond this size, which is a few hundred small records.
constexpr qint64 indexDecisionBytes = qint64{64} * 1024;

/** Returns the bytes that precede a payload in the log. */
QByteArray headerOf(const QByteArray &payload)
{
    QByteArray header(headerBytes, Qt::Uninitialized);
    qToLittleEndian(static_cast<quint32>(payload.size()), header.data());
    qToLittleEndian(logChecksum(payload), header.data() + sizeof(quint32));
    return header;
}

[[noreturn]] void throwDiskError(const char *operation)
{
    throw LacewingmuxError(
            ErrorKind::InternalError,
            QStringLiteral("cannot %1: %2")
                    .arg(QLatin1String(operation), QString::fromLocal8Bit(std::strerror(errno))));
}

} // namespace

SegmentedLog::SegmentedLog(const QString &folderPath, TimerService &timerService)
    : folder(folderPath)
    , timers(timerService)
{
    this->diskThread.setObjectName(QStringLiteral("disk"));
    this->diskQueue.moveToThread(&this->diskThread);
    this->diskThread.start();
}

SegmentedLog::~SegmentedLog()
{
    this->diskThread.quit();
    this->diskThread.wait();
    for (const auto &[number, segment] : this->segments)
        ::close(segment.descriptor);
}

void SegmentedLog::replay(const ReplayFunction &report)
{
    const QStringList names =
            QDir(this->folder)
                    .entryList({QStringLiteral("*%1").arg(QLatin1String(segmentSuffix))},
                               QDir::Files, QDir::Name);
    std::uint64_t lastNumber = 0;
    for (const QString &name : names) {
        const std::uint64_t number = name.section(u'.', 0, 0).toULongLong();
        this->replaySegment(number, report);
        lastNumber = std::max(lastNumber, number);
    }
    this->durableSequence = this->nextSequence - 1;
    this->openSegment(lastNumber + 1);
    this->writeIndexes();
    LogEvent(LogSeverity::Info, "logReplayed")
            .field("files", static_cast<qint64>(names.size()))
            .field("records", static_cast<qint64>(this->durableSequence));
}

std::uint64_t SegmentedLog::append(const Record &record)
{
    if (this->segments.rbegin()->second.bytes >= segmentBytes) {
        this->segmentsWithoutIndex.push_back(this->segments.rbegin()->first);
        this->openSegment(this->segments.rbegin()->first + 1);
    }
    Segment &segment = this->segments.rbegin()->second;
    const QByteArray payload = RecordsCodec::encodeRecord(record);
    if (this->queuedBatches.empty() || this->queuedBatches.back().descriptor != segment.descriptor)
        this->queuedBatches.push_back({segment.descriptor, {}, 0});
    this->registerRecord(segment, record, segment.bytes + headerBytes, payload.size());
    addToIndex(segment, record, payload.size());
    const std::uint64_t sequence = this->nextSequence - 1;
    Batch &batch = this->queuedBatches.back();
    batch.bytes += headerOf(payload);
    batch.bytes += payload;
    batch.lastSequence = sequence;
    this->unsyncedPayloads.emplace_back(sequence, payload);
    if (!this->isWriting)
        this->startBatch();
    return sequence;
}

void SegmentedLog::whenDurable(std::uint64_t sequence, std::function<void()> callback)
{
    if (sequence <= this->durableSequence)
        this->timers.post(std::move(callback));
    else
        this->durableCallbacks.emplace(sequence, std::move(callback));
}

std::optional<Record> SegmentedLog::read(std::uint64_t sequence)
{
    if (sequence < this->firstSequence || sequence >= this->nextSequence)
        return std::nullopt;
    if (!this->unsyncedPayloads.empty() && sequence >= this->unsyncedPayloads.front().first)
        return RecordsCodec::decodeRecord(
                this->unsyncedPayloads[sequence - this->unsyncedPayloads.front().first].second);
    const Position &position = this->positions[sequence - this->firstSequence];
    QByteArray entry(headerBytes + position.bytes, Qt::Uninitialized);
    const int descriptor = this->segments.at(position.segment).descriptor;
    const ssize_t count = ::pread(descriptor, entry.data(), static_cast<std::size_t>(entry.size()),
                                  position.offset - headerBytes);
    const QByteArray payload =
            QByteArray::fromRawData(entry.constData() + headerBytes, position.bytes);
    // Checked on every read, as a restart that uses an index does not read the bodies.
    const auto checksum = qFromLittleEndian<quint32>(entry.constData() + sizeof(quint32));
    if (count != entry.size() || logChecksum(payload) != checksum) {
        LogEvent(LogSeverity::Error, "logUnreadable")
                .field("sequence", static_cast<quint64>(sequence))
                .field("bytes", static_cast<qint64>(count))
                .field("errno", count < 0 ? errno : 0);
        return std::nullopt;
    }
    return RecordsCodec::decodeRecord(payload);
}

std::uint64_t SegmentedLog::expiredUpTo(std::chrono::system_clock::time_point before) const
{
    std::uint64_t last = 0;
    for (auto entry = this->segments.begin(); std::next(entry) != this->segments.end(); ++entry) {
        const Segment &segment = entry->second;
        if (segment.lastSequence > this->durableSequence || segment.lastExpiry >= before)
            break;
        last = segment.lastSequence;
    }
    return last;
}

void SegmentedLog::dropExpired(std::chrono::system_clock::time_point before,
                               std::uint64_t firstNeeded)
{
    const std::uint64_t last = this->expiredUpTo(before);
    while (this->segments.begin()->second.lastSequence <= last && this->segments.size() > 1) {
        const Segment &oldest = this->segments.begin()->second;
        if (oldest.lastSequence >= firstNeeded)
            return;
        for (; this->firstSequence <= oldest.lastSequence; ++this->firstSequence)
            this->positions.pop_front();
        ::close(oldest.descriptor);
        const QString path = this->pathOf(oldest.number, segmentSuffix);
        if (!QFile::remove(path))
            LogEvent(LogSeverity::Warning, "logFileNotRemoved").field("file", path);
        QFile::remove(this->pathOf(oldest.number, indexSuffix)); // not every segment has an index
        this->segments.erase(this->segments.begin());
    }
}

void SegmentedLog::replaySegment(std::uint64_t number, const ReplayFunction &report)
{
    const QString path = this->pathOf(number, segmentSuffix);
    const int descriptor = ::open(QFile::encodeName(path).constData(), O_RDWR | O_CLOEXEC);
    if (descriptor < 0)
        throwDiskError("open a log segment");
    Segment &segment = this->segments[number];
    segment.number = number;
    segment.descriptor = descriptor;
    if (!this->replayIndex(segment, report)) {
        this->replayEntries(segment, report);
        this->segmentsWithoutIndex.push_back(number);
    }
}

bool SegmentedLog::replayIndex(Segment &segment, const ReplayFunction &report)
{
    QFile file(this->pathOf(segment.number, indexSuffix));
    if (!file.open(QIODevice::ReadOnly))
        return false;
    const auto entries = SegmentIndex::fromBytes(file.readAll());
    qint64 bytes = 0;
    if (entries) {
        for (const SegmentIndex::Entry &entry : *entries)
            bytes += headerBytes + entry.payloadBytes;
    }
    if (!entries || bytes != QFileInfo(this->pathOf(segment.number, segmentSuffix)).size()) {
        LogEvent(LogSeverity::Warning, "logIndexUnusable").field("file", file.fileName());
        return false;
    }
    for (const SegmentIndex::Entry &entry : *entries) {
        this->registerRecord(segment, entry.record, segment.bytes + headerBytes,
                             entry.payloadBytes);
        report(this->nextSequence - 1, entry.record);
    }
    return true;
}

void SegmentedLog::replayEntries(Segment &segment, const ReplayFunction &report)
{
    QFile file(this->pathOf(segment.number, segmentSuffix));
    if (!file.open(QIODevice::ReadOnly))
        throwDiskError("open a log segment");
    const QByteArray bytes = file.readAll();
    while (bytes.size() - segment.bytes >= headerBytes) {
        const char *header = bytes.constData() + segment.bytes;
        const auto length = static_cast<qint64>(qFromLittleEndian<quint32>(header));
        const auto checksum = qFromLittleEndian<quint32>(header + sizeof(quint32));
        if (length == 0 || length > bytes.size() - segment.bytes - headerBytes)
            break;
        const QByteArray payload = QByteArray::fromRawData(header + headerBytes, length);
        if (logChecksum(payload) != checksum)
            break;
        const std::optional<Record> record = RecordsCodec::decodeRecord(payload);
        if (!record)
            break;
        this->registerRecord(segment, *record, segment.bytes + headerBytes, length);
        addToIndex(segment, *record, length);
        report(this->nextSequence - 1, *record);
    }
    if (segment.bytes < bytes.size())
        LogEvent(LogSeverity::Warning, "logTailDropped")
                .field("file", file.fileName())
                .field("bytes", static_cast<qint64>(bytes.size() - segment.bytes));
}

void SegmentedLog::addToIndex(Segment &segment, const Record &record, qint64 payloadBytes)
{
    if (!segment.isIndexed)
        return;
    segment.index.add(record, payloadBytes);
    segment.isIndexed = segment.bytes < indexDecisionBytes || isWorthIndexing(segment);
    if (!segment.isIndexed)
        segment.index = {};
}

bool SegmentedLog::isWorthIndexing(const Segment &segment)
{
    return segment.index.size() > 0 && segment.index.size() * minimumIndexRatio <= segment.bytes;
}

void SegmentedLog::writeIndexes()
{
    while (!this->segmentsWithoutIndex.empty()) {
        const auto found = this->segments.find(this->segmentsWithoutIndex.front());
        if (found != this->segments.end() && found->second.lastSequence > this->durableSequence)
            return;
        this->segmentsWithoutIndex.erase(this->segmentsWithoutIndex.begin());
        if (found == this->segments.end())
            continue;
        Segment &segment = found->second;
        const bool worthIndexing = isWorthIndexing(segment);
        const SegmentIndex index = std::exchange(segment.index, {});
        if (worthIndexing)
            this->diskQueue.post([index, path = this->pathOf(segment.number, indexSuffix)] {
                writeIndex(path, index.toBytes());
            });
    }
}

void SegmentedLog::openSegment(std::uint64_t number)
{
    const QString path = this->pathOf(number, segmentSuffix);
    const int descriptor = ::open(QFile::encodeName(path).constData(),
                                  O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC, 0644);
    if (descriptor < 0)
        throwDiskError("create a log segment");
    Segment segment;
    segment.number = number;
    segment.descriptor = descriptor;
    segment.lastSequence = this->nextSequence - 1;
    this->segments.emplace(number, segment);
}

void SegmentedLog::startBatch()
{
    this->isWriting = true;
    Batch batch = std::move(this->queuedBatches.front());
    this->queuedBatches.pop_front();
    this->diskQueue.post(
            [this, batch = std::move(batch), guard = std::weak_ptr(this->lifetimeToken)] {
                writeAll(batch);
                this->timers.post([this, guard, sequence = batch.lastSequence] {
                    if (!guard.expired())
                        this->handleBatchWritten(sequence);
                });
            });
}

void SegmentedLog::handleBatchWritten(std::uint64_t sequence)
{
    this->durableSequence = sequence;
    this->isWriting = false;
    while (!this->unsyncedPayloads.empty() && this->unsyncedPayloads.front().first <= sequence)
        this->unsyncedPayloads.pop_front();
    if (!this->queuedBatches.empty())
        this->startBatch();
    this->writeIndexes();
    const auto end = this->durableCallbacks.upper_bound(sequence);
    std::multimap<std::uint64_t, std::function<void()>> due;
    for (auto callbackEntry = this->durableCallbacks.begin(); callbackEntry != end;)
        due.insert(this->durableCallbacks.extract(callbackEntry++));
    for (const auto &[number, callback] : due)
        callback();
}

void SegmentedLog::registerRecord(Segment &segment, const Record &record, qint64 offset,
                                  qint64 bytes)
{
    segment.bytes = offset + bytes;
    segment.lastExpiry = std::max(segment.lastExpiry, record.expires);
    segment.lastSequence = this->nextSequence;
    this->positions.push_back({segment.number, offset, bytes});
    ++this->nextSequence;
}

QString SegmentedLog::pathOf(std::uint64_t number, const char *suffix) const
{
    constexpr int digits = 12;
    return this->folder + u'/' + QStringLiteral("%1").arg(number, digits, 10, QLatin1Char('0'))
           + QLatin1String(suffix);
}

void SegmentedLog::writeIndex(const QString &path, const QByteArray &bytes)
{
    QFile file(path);
    const bool written = file.open(QIODevice::WriteOnly) && file.write(bytes) == bytes.size()
                         && file.flush() && ::fdatasync(file.handle()) == 0;
    // The log itself is intact; without the index, the next restart only takes longer.
    if (!written)
        LogEvent(LogSeverity::Warning, "logIndexNotWritten")
                .field("file", path)
                .field("reason", file.errorString());
}

void SegmentedLog::writeAll(const Batch &batch)
{
    qsizetype written = 0;
    while (written < batch.bytes.size()) {
        const ssize_t count = ::write(batch.descriptor, batch.bytes.constData() + written,
                                      static_cast<std::size_t>(batch.bytes.size() - written));
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            break;
        written += count;
    }
    if (written == batch.bytes.size() && ::fdatasync(batch.descriptor) == 0)
        return;
    // The content of the disk is unknown after a failed write; only a restart can determine it.
    LogEvent(LogSeverity::Error, "logNotWritten").field("errno", errno);
    std::abort();
}

} // namespace lacewingmux

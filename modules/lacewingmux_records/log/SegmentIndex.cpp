#include "lacewingmux_records/log/SegmentIndex.h"

#include "lacewingmux_records/log/LogChecksum.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <QtEndian>

namespace lacewingmux {

namespace {

constexpr qsizetype sizeFieldBytes = sizeof(quint32);

void appendSizeField(QByteArray &bytes, qint64 number)
{
    char buffer[sizeFieldBytes];
    qToLittleEndian(static_cast<quint32>(number), buffer);
    bytes.append(buffer, sizeFieldBytes);
}

} // namespace

void SegmentIndex::add(const Record &record, qint64 payloadBytes)
{
    Record withoutBodies = record;
    withoutBodies.input.clear();
    withoutBodies.output.clear();
    const QByteArray entry = RecordsCodec::encodeRecord(withoutBodies);
    appendSizeField(this->entries, payloadBytes);
    appendSizeField(this->entries, entry.size());
    this->entries += entry;
}

QByteArray SegmentIndex::toBytes() const
{
    QByteArray bytes;
    bytes.reserve(sizeFieldBytes + this->entries.size());
    appendSizeField(bytes, logChecksum(this->entries));
    return bytes + this->entries;
}

std::optional<std::vector<SegmentIndex::Entry>> SegmentIndex::fromBytes(const QByteArray &bytes)
{
    if (bytes.size() < sizeFieldBytes)
        return std::nullopt;
    const QByteArray entryBytes = QByteArray::fromRawData(bytes.constData() + sizeFieldBytes,
                                                          bytes.size() - sizeFieldBytes);
    if (qFromLittleEndian<quint32>(bytes.constData()) != logChecksum(entryBytes))
        return std::nullopt;
    std::vector<Entry> found;
    for (qsizetype offset = 0; offset < entryBytes.size();) {
        if (entryBytes.size() - offset < 2 * sizeFieldBytes)
            return std::nullopt;
        const char *header = entryBytes.constData() + offset;
        const qsizetype length = qFromLittleEndian<quint32>(header + sizeFieldBytes);
        offset += 2 * sizeFieldBytes;
        if (length > entryBytes.size() - offset)
            return std::nullopt;
        auto record = RecordsCodec::decodeRecord(
                QByteArray::fromRawData(entryBytes.constData() + offset, length));
        if (!record)
            return std::nullopt;
        found.push_back({std::move(*record), qFromLittleEndian<quint32>(header)});
        offset += length;
    }
    return found;
}

} // namespace lacewingmux

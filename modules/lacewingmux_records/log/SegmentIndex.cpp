#include "lacewingmux_records/log/SegmentIndex.h"

#include "lacewingmux_records/log/LogChecksum.h"
#include "lacewingmux_records/messages/RecordsCodec.h"

#include <QtEndian>

namespace lacewingmux {

namespace {

constexpr qsizetype numberBytes = sizeof(quint32);

void appendNumber(QByteArray &bytes, qint64 number)
{
    char text[numberBytes];
    qToLittleEndian(static_cast<quint32>(number), text);
    bytes.append(text, numberBytes);
}

} // namespace

void SegmentIndex::add(const Record &record, qint64 payloadBytes)
{
    Record bare = record;
    bare.input.clear();
    bare.output.clear();
    const QByteArray entry = RecordsCodec::encodeRecord(bare);
    appendNumber(this->entries, payloadBytes);
    appendNumber(this->entries, entry.size());
    this->entries += entry;
}

QByteArray SegmentIndex::toBytes() const
{
    QByteArray bytes;
    bytes.reserve(numberBytes + this->entries.size());
    appendNumber(bytes, logChecksum(this->entries));
    return bytes + this->entries;
}

std::optional<std::vector<SegmentIndex::Entry>> SegmentIndex::fromBytes(const QByteArray &bytes)
{
    if (bytes.size() < numberBytes)
        return std::nullopt;
    const QByteArray rest =
            QByteArray::fromRawData(bytes.constData() + numberBytes, bytes.size() - numberBytes);
    if (qFromLittleEndian<quint32>(bytes.constData()) != logChecksum(rest))
        return std::nullopt;
    std::vector<Entry> found;
    for (qsizetype place = 0; place < rest.size();) {
        if (rest.size() - place < 2 * numberBytes)
            return std::nullopt;
        const char *head = rest.constData() + place;
        const qsizetype length = qFromLittleEndian<quint32>(head + numberBytes);
        place += 2 * numberBytes;
        if (length > rest.size() - place)
            return std::nullopt;
        auto record = RecordsCodec::decodeRecord(
                QByteArray::fromRawData(rest.constData() + place, length));
        if (!record)
            return std::nullopt;
        found.push_back({std::move(*record), qFromLittleEndian<quint32>(head)});
        place += length;
    }
    return found;
}

} // namespace lacewingmux

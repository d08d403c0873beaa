#pragma once

#include "lacewingmux_records/messages/Record.h"

#include <QByteArray>

#include <optional>
#include <vector>

namespace lacewingmux {

/**
    Index of one segment file of the log: its records without inputs and outputs. It is stored next
    to a segment that receives no more records, so that a restart need not read the whole log.

    Format on disk: a CRC-32 of the rest; then for each record the size of its payload in the log
    and the size of its index entry in bytes, both 32-bit little-endian, and the entry itself,
    which is the record without bodies.
*/
class SegmentIndex
{
public:
    /** A record without its bodies, and the size of its payload in the log. */
    struct Entry
    {
        Record record;
        qint64 payloadBytes = 0;
    };

    /** Adds the next record of the segment. */
    void add(const Record &record, qint64 payloadBytes);

    /** Returns the index in its format on disk. */
    [[nodiscard]] QByteArray toBytes() const;

    /** Returns the size of the index entries in bytes. */
    [[nodiscard]] qsizetype size() const noexcept
    {
        return this->entries.size();
    }

    /** Parses an index; returns nothing if it is torn or damaged. */
    [[nodiscard]] static std::optional<std::vector<Entry>> fromBytes(const QByteArray &bytes);

private:
    QByteArray entries;
};

} // namespace lacewingmux

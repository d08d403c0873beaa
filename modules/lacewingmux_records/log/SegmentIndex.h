#pragma once

#include "lacewingmux_records/messages/Record.h"

#include <QByteArray>

#include <optional>
#include <vector>

namespace lacewingmux {

/**
    What one file of the log holds, without inputs and outputs. It is written beside a file that
    gets no more records, so that a restart need not read the whole log.

    On disk: a CRC-32 of the rest, then for each record the bytes of its payload in the log, the
    bytes of its entry, both 32 bits, little-endian, and the entry, a record without bodies.
*/
class SegmentIndex
{
public:
    /** A record without its bodies, and how long its payload in the log is. */
    struct Entry
    {
        Record record;
        qint64 payloadBytes = 0;
    };

    /** Adds the next record of the file. */
    void add(const Record &record, qint64 payloadBytes);

    /** Returns the bytes of the index on disk. */
    [[nodiscard]] QByteArray toBytes() const;

    /** Returns how long the index is on disk. */
    [[nodiscard]] qsizetype size() const noexcept
    {
        return this->entries.size();
    }

    /** Returns what the index says; nothing when it is torn or damaged. */
    [[nodiscard]] static std::optional<std::vector<Entry>> fromBytes(const QByteArray &bytes);

private:
    QByteArray entries;
};

} // namespace lacewingmux

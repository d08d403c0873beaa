#include "lacewingmux_zone/replication/SlotAssembly.h"

#include "lacewingmux_zone/replication/JournalMessages.h"

#include <utility>

namespace lacewingmux {

bool SlotAssembly::add(const StatePiece &piece)
{
    if (piece.piece != this->expectedPiece || this->complete)
        return false;
    for (const AggregateRecord &record : piece.records) {
        for (const QByteArray &entry : record.entries)
            this->records.append(record.id, entry);
    }
    ++this->expectedPiece;
    this->complete = piece.last;
    return true;
}

RecordMap SlotAssembly::takeRecords()
{
    return std::exchange(this->records, {});
}

} // namespace lacewingmux

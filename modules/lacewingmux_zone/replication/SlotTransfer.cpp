#include "lacewingmux_zone/replication/SlotTransfer.h"

#include <utility>

namespace lacewingmux {

namespace {

/** Approximate overhead of the message per entry, in bytes. */
constexpr std::size_t entryOverheadBytes = 32;

} // namespace

SlotTransfer::SlotTransfer(SlotIndex transferredSlot, const SlotPosition &snapshotPosition,
                           RecordMap snapshotRecords, std::size_t bytesPerPiece)
    : position(snapshotPosition)
    , records(std::move(snapshotRecords))
    , pieceSize(bytesPerPiece)
    , nextAggregate(this->records.byAggregate().begin())
{
    this->currentPiece.slot = transferredSlot;
    this->currentPiece.position = this->position;
}

std::optional<StatePiece> SlotTransfer::piece(std::uint32_t index)
{
    if (index == this->nextPiece && !this->currentPiece.last)
        this->buildNextPiece();
    else if (this->nextPiece == 0 || index != this->currentPiece.piece)
        return std::nullopt;
    return this->currentPiece;
}

void SlotTransfer::buildNextPiece()
{
    const auto end = this->records.byAggregate().end();
    this->currentPiece.records.clear();
    std::size_t bytes = 0;
    while (this->nextAggregate != end && bytes < this->pieceSize) {
        const auto &[aggregate, entries] = *this->nextAggregate;
        if (this->nextEntry == entries.size()) {
            ++this->nextAggregate;
            this->nextEntry = 0;
            continue;
        }
        const QByteArray &entry = entries[this->nextEntry];
        const std::size_t entryBytes = static_cast<std::size_t>(entry.size()) + entryOverheadBytes;
        if (bytes > 0 && bytes + entryBytes > this->pieceSize)
            break;
        if (this->nextEntry == 0 || this->currentPiece.records.empty())
            this->currentPiece.records.push_back({aggregate, {}});
        this->currentPiece.records.back().entries.push_back(entry);
        bytes += entryBytes;
        ++this->nextEntry;
    }
    while (this->nextAggregate != end && this->nextEntry == this->nextAggregate->second.size()) {
        ++this->nextAggregate;
        this->nextEntry = 0;
    }
    this->currentPiece.piece = this->nextPiece++;
    this->currentPiece.last = this->nextAggregate == end;
}

} // namespace lacewingmux

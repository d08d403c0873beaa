#pragma once

#include "lacewingmux_zone/journal/RecordMap.h"
#include "lacewingmux_zone/replication/JournalMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    Splits a slot's copy into pieces for transfer to another VM.

    It works on a snapshot taken at construction; the entries themselves are shared, not copied.
    The receiver requests the pieces in order and may request the last one again.
*/
class SlotTransfer
{
public:
    /** Approximate size of a piece in bytes; a longer entry gets a piece of its own. */
    static constexpr std::size_t pieceBytes = 1'000'000;

    SlotTransfer(SlotIndex transferredSlot, const SlotPosition &snapshotPosition,
                 RecordMap snapshotRecords, std::size_t bytesPerPiece = pieceBytes);

    /** Returns the piece, or nothing unless it is the next one or the last one returned. */
    [[nodiscard]] std::optional<StatePiece> piece(std::uint32_t index);

    /** Returns the piece last returned by piece(). */
    [[nodiscard]] const StatePiece &current() const noexcept
    {
        return this->currentPiece;
    }

private:
    using Cursor = std::map<AggregateId, std::vector<QByteArray>>::const_iterator;

    void buildNextPiece();

    SlotPosition position;
    RecordMap records;
    std::size_t pieceSize;
    Cursor nextAggregate;
    std::size_t nextEntry = 0;
    std::uint32_t nextPiece = 0;
    StatePiece currentPiece;
};

} // namespace lacewingmux

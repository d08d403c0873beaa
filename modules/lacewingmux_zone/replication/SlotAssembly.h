#pragma once

#include "lacewingmux_zone/journal/RecordMap.h"

#include <cstdint>

namespace lacewingmux {

struct StatePiece;

/** Reassembles a slot's copy from its pieces, in order. */
class SlotAssembly
{
public:
    /** Adds a piece; returns false and changes nothing if it isn't the next one. */
    bool add(const StatePiece &piece);

    [[nodiscard]] std::uint32_t nextPiece() const noexcept
    {
        return this->expectedPiece;
    }
    [[nodiscard]] bool isComplete() const noexcept
    {
        return this->complete;
    }

    /** Moves out the records assembled so far. */
    [[nodiscard]] RecordMap takeRecords();

private:
    RecordMap records;
    std::uint32_t expectedPiece = 0;
    bool complete = false;
};

} // namespace lacewingmux

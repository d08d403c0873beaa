#pragma once

#include "lacewingmux_zone/journal/RecordMap.h"

#include <cstdint>

namespace lacewingmux {

struct StatePiece;

/** Puts the pieces of a slot's copy together again, in order. */
class SlotAssembly
{
public:
    /** Takes a piece; returns false, and changes nothing, when it isn't the next one. */
    bool add(const StatePiece &piece);

    [[nodiscard]] std::uint32_t nextPiece() const noexcept
    {
        return this->expectedPiece;
    }
    [[nodiscard]] bool isWhole() const noexcept
    {
        return this->whole;
    }

    /** Returns the records put together so far, and gives them up. */
    [[nodiscard]] RecordMap takeRecords();

private:
    RecordMap records;
    std::uint32_t expectedPiece = 0;
    bool whole = false;
};

} // namespace lacewingmux

#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** One earlier version of a record: its number and the id of the write that made it. */
struct RecordVersion
{
    std::uint64_t revision = 0;
    QString writeId;

    friend bool operator==(const RecordVersion &, const RecordVersion &) = default;
};

} // namespace lacewingmux

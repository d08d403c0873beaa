#pragma once

#include "lacewingmux_records/messages/Record.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace lacewingmux {

/** The disk of a records VM, which is kept across process restarts. */
struct SimulatedDisk
{
    std::uint64_t identity = 0;
    std::vector<Record> records; ///< survive a power loss

    /** Returns whether the turn with this request id is on the disk. */
    [[nodiscard]] bool contains(const QByteArray &turn) const
    {
        return std::any_of(this->records.begin(), this->records.end(), [&turn](const auto &record) {
            return record.kind == RecordKind::Turn && record.key == turn;
        });
    }
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_records/messages/Record.h"

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** The disk of a records VM, which is kept across process restarts. */
struct SimulatedDisk
{
    std::uint64_t identity = 0;
    std::vector<Record> records; ///< survive a power loss
};

} // namespace lacewingmux

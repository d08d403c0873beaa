#pragma once

#include "lacewingmux_records/messages/Record.h"

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** A disk of a records VM, which outlives the processes on it. */
struct ModelDisk
{
    std::uint64_t identity = 0;
    std::vector<Record> records; ///< what survives the loss of power
};

} // namespace lacewingmux

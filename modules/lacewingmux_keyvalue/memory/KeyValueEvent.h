#pragma once

#include "lacewingmux_keyvalue/store/StoreRecord.h"

#include <cstdint>

namespace lacewingmux {

/** One change of one key. A deleted key has an empty value and createRevision 0. */
struct KeyValueEvent
{
    std::int64_t revision = 0;
    bool deleted = false;
    StoreRecord record;
};

} // namespace lacewingmux

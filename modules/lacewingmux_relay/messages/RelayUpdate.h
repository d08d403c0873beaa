#pragma once

#include "lacewingmux_keyvalue/store/StoreRecord.h"

#include <QByteArray>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/** Records below one watched prefix of the platform's store. */
struct RelayUpdate
{
    QByteArray prefix;
    std::int64_t revision = 0; ///< the relay has seen all changes up to this store revision
    bool isFull = false;       ///< the records are all that exist; otherwise they have changed
    std::vector<StoreRecord> records;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_keyvalue/store/KeyRange.h"

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** One step of a write: a put of one key, or the removal of a range of keys. */
struct KeyValueWrite
{
    enum class Kind : std::uint8_t { Put, Remove };

    Kind kind = Kind::Put;
    KeyRange keys; ///< of a put, the single key
    QByteArray value;
    std::int64_t leaseId = 0; ///< 0 binds the key to no lease
};

} // namespace lacewingmux

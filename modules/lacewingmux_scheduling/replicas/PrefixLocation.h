#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

/** Where the prefix of a program is believed to be cached. */
struct PrefixLocation
{
    QString replica;
    std::int64_t tokens = 0;
    double confidence = 0; ///< from 0 to 1
};

} // namespace lacewingmux

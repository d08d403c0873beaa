#pragma once

#include <QByteArray>

#include <zlib.h>

namespace lacewingmux {

/** Returns the CRC-32 that detects torn writes and damage in the log. */
[[nodiscard]] inline quint32 logChecksum(const QByteArray &bytes)
{
    return static_cast<quint32>(crc32_z(0, reinterpret_cast<const Bytef *>(bytes.constData()),
                                        static_cast<z_size_t>(bytes.size())));
}

} // namespace lacewingmux

#pragma once

#include <QByteArray>

#include <boost/crc.hpp>

namespace lacewingmux {

/** Returns the CRC-32 that detects torn writes and damage in the log. */
[[nodiscard]] inline quint32 logChecksum(const QByteArray &bytes)
{
    boost::crc_32_type checksum;
    checksum.process_bytes(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    return checksum.checksum();
}

} // namespace lacewingmux

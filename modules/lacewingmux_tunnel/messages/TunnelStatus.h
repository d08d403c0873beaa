#pragma once

#include <cstdint>

namespace lacewingmux {

/** How an attempt to open a tunnel ended; the values are those on the wire. */
enum class TunnelStatus : std::uint8_t {
    Connected = 0, ///< the bytes of the connection follow
    Refused = 1,   ///< the target refused the connection
    Silent = 2,    ///< the target did not respond
    Rejected = 3 ///< the VM opens no tunnel: it is stopping, at its limit, or got no valid request
};

} // namespace lacewingmux

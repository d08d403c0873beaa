#pragma once

#include <cstdint>

namespace lacewingmux {

/** How an attempt to connect to a replica ended. Nothing was sent to the replica in any case. */
enum class ConnectResult : std::uint8_t {
    Connected,
    Refused,     ///< the replica refused the connection, so its VM is reachable
    Silent,      ///< the replica did not respond
    TunnelFailed ///< the other VM opened no tunnel; nothing is known about the replica
};

} // namespace lacewingmux

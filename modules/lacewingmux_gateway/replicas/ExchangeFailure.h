#pragma once

#include <cstdint>

namespace lacewingmux {

/** How an exchange with a replica failed. */
enum class ExchangeFailure : std::uint8_t {
    NotConnected,  ///< the connection could not be established; nothing was sent
    Closed,        ///< the connection ended after the request was sent
    Malformed,     ///< the received bytes are not a valid response
    Unattributed,  ///< a response could not be attributed to the request or to an earlier one
    OtherResponse, ///< another response was read as part of the response's body
    OutOfSequence, ///< an event of a stream does not follow those before it
    Unreachable,   ///< the connection is no longer acknowledged by the replica's system
    TunnelFailed,  ///< another VM opened no tunnel to the replica; nothing was sent
    TunnelLost     ///< the connection is no longer acknowledged by the tunnel's VM
};

/** Returns a description for logs and error responses. */
[[nodiscard]] const char *describe(ExchangeFailure failure);

} // namespace lacewingmux

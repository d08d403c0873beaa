#pragma once

#include <cstdint>

namespace lacewingmux {

/** Why no complete response was received from a backend server. */
enum class BackendFailure : std::uint8_t {
    None,               ///< a complete response was received, with any status
    NotSent,            ///< the server refused the connection; nothing was sent
    ConnectTimedOut,    ///< the server did not answer the connection attempt; nothing was sent
    ConnectedTooLate,   ///< connected after BackendCall::sendBefore; nothing was sent
    ConnectionLost,     ///< sent, but the connection broke before the response was complete
    TimedOut,           ///< sent, but the response was not complete in time
    ResponseTooLarge,   ///< the response exceeded its size limit and was aborted
    MismatchedResponse, ///< the response carries another request's id
    Cancelled           ///< cancelled by the client
};

} // namespace lacewingmux

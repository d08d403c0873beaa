#pragma once

#include <cstdint>

namespace lacewingmux {

/** How an exchange with a replica failed. */
enum class ExchangeFailure : std::uint8_t {
    NotConnected, ///< no connection came about: nothing was sent
    Closed,       ///< the connection ended after the request had been sent
    Malformed,    ///< what came is no answer
    Unreachable   ///< the replica fell silent after the request, and can't be reached any more
};

} // namespace lacewingmux

#pragma once

#include <cstdint>

namespace lacewingmux {

/** Why no whole answer came from a backend server. */
enum class BackendFailure : std::uint8_t {
    None,               ///< a whole answer came, whatever its status
    NotSent,            ///< no connection came about
    ConnectionLost,     ///< sent, and the connection broke before the whole answer came
    TimedOut,           ///< sent, and no whole answer came in time
    ResponseTooLarge,   ///< the answer passed its bound and was cut off
    MismatchedResponse, ///< the answer is marked as another request's
    Cancelled           ///< ended by this side
};

} // namespace lacewingmux

#pragma once

#include <cstdint>

namespace lacewingmux {

/** How often a request of a route may run, and how it is answered. */
enum class RouteKind : std::uint8_t {
    Idempotent, ///< may run more than once
    SingleRun,  ///< may run at most once for each attempt of the caller
    Stream      ///< answered by an event stream; may run once unless resumable
};

} // namespace lacewingmux

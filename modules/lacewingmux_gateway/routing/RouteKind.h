#pragma once

#include <cstdint>

namespace lacewingmux {

/** What may be done with a request of a route. */
enum class RouteKind : std::uint8_t {
    Idempotent, ///< may run more than once
    SingleRun,  ///< may run at most once for each attempt of the caller
    Stream      ///< answers with a stream of events; may run once unless it can be resumed
};

} // namespace lacewingmux

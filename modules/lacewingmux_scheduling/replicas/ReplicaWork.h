#pragma once

#include <cstdint>

namespace lacewingmux {

/** The kinds of work whose speed is learned separately for each replica. */
enum class ReplicaWork : std::uint8_t {
    Reading, ///< prefill of uncached prompt tokens, or a whole call of a plain service
    Writing  ///< decoding: the events of a stream after the first one
};

} // namespace lacewingmux

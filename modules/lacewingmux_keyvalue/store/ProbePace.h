#pragma once

#include <cstdint>

namespace lacewingmux {

/** How often a client probes a store that does not answer. */
enum class ProbePace : std::uint8_t {
    Quick,  ///< nobody else tells this VM that the store is back, or others rely on it to tell them
    Relaxed ///< relays are expected to tell this VM that the store is back
};

} // namespace lacewingmux

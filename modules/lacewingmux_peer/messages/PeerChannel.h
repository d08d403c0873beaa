#pragma once

#include <cstdint>

namespace lacewingmux {

/** The two channels between daemons. Each thread that talks to peers has links of one of them. */
enum class PeerChannel : std::uint8_t {
    Control = 1, ///< membership, configuration and shares
    Traffic = 2  ///< journals, forwarded requests and grants
};

} // namespace lacewingmux

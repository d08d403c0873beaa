#pragma once

#include <chrono>

namespace lacewingmux {

/**
    How long a VM may start sequences with the power it holds, counted from when it sent the last
    request that the owner answered. The VM renews its request after a third of this time.
*/
inline constexpr std::chrono::seconds powerLease{6};

/** Added to the lease and the longest call timeout before a departed VM's power is reclaimed. */
inline constexpr std::chrono::seconds powerReclaimMargin{2};

} // namespace lacewingmux

#pragma once

#include <chrono>

namespace lacewingmux {

/**
    How long a VM may start sequences on the power it holds after it sent the last request that its
    owner answered. It asks again at a third of that.
*/
inline constexpr std::chrono::seconds powerLease{6};

/** Added to the lease and the longest call before the power of a VM that left is taken back. */
inline constexpr std::chrono::seconds powerReclaimMargin{2};

} // namespace lacewingmux

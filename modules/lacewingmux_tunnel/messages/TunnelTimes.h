#pragma once

#include <chrono>

namespace lacewingmux {

/** Maximum time in which a VM connects a tunnel to its target, after which it replies that the
    target is silent. */
inline constexpr std::chrono::milliseconds tunnelConnectTimeout{300};

} // namespace lacewingmux

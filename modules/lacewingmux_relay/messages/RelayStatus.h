#pragma once

#include <chrono>

namespace lacewingmux {

/** How recent the data of a relay is. */
struct RelayStatus
{
    bool storeReachable = false;
    std::chrono::milliseconds contactAge{0}; ///< time since the store last answered the relay
};

} // namespace lacewingmux

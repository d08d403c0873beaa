#pragma once

#include <chrono>

namespace lacewingmux {

/** How recent the data of a relay is. */
struct RelayStatus
{
    bool storeReachable = false;
    std::chrono::milliseconds contactAge{0}; ///< time since the store last answered the relay
    /** Time for which the relay has reached the store without interruption. */
    std::chrono::milliseconds reachableFor{0};
};

} // namespace lacewingmux

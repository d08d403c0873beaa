#pragma once

#include <chrono>

namespace lacewingmux {

/** How often a watch that polls may ask. */
struct WatchPace
{
    /** How long the store holds a poll without a change: also the longest time for which a
        connection that fell silent goes unnoticed. */
    std::chrono::milliseconds wait{2500};
    /** Pause after a change: how long the next one may go unnoticed, and what bounds the calls. */
    std::chrono::milliseconds pause{500};
};

} // namespace lacewingmux

#pragma once

#include <chrono>

namespace lacewingmux {

/** The last load report of one replica that can take calls. */
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 1;
    std::chrono::milliseconds age{0}; ///< time since the report arrived
};

} // namespace lacewingmux

#pragma once

#include <chrono>

namespace lacewingmux {

/** When an event was decided: wall-clock time, because another VM may read it. */
using EventTime = std::chrono::system_clock::time_point;

} // namespace lacewingmux

#pragma once

#include <chrono>

namespace lacewingmux {

/** Time of an event's decision; wall-clock time, because other VMs may read it. */
using EventTime = std::chrono::system_clock::time_point;

} // namespace lacewingmux

#pragma once

#include <chrono>
#include <functional>

namespace lacewingmux::standin {

/**
    Runs the event loop of this thread until the condition holds or the bound has passed.

    Returns whether the condition holds. The condition is looked at after events and at short
    intervals.
*/
[[nodiscard]] bool waitUntil(const std::function<bool()> &condition,
                             std::chrono::milliseconds bound);

} // namespace lacewingmux::standin

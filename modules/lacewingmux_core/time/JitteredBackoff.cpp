#include "lacewingmux_core/time/JitteredBackoff.h"

#include <algorithm>

namespace lacewingmux {

JitteredBackoff::JitteredBackoff(std::chrono::milliseconds firstPause,
                                 std::chrono::milliseconds longestPause)
    : first(firstPause)
    , longest(longestPause)
    , current(firstPause)
{ }

std::chrono::milliseconds JitteredBackoff::next(double random)
{
    const double share = 0.5 + 0.5 * std::clamp(random, 0.0, 1.0);
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(this->current * share);
    this->current = std::min(this->current * 2, this->longest);
    return std::max(pause, std::chrono::milliseconds(1));
}

void JitteredBackoff::reset()
{
    this->current = this->first;
}

} // namespace lacewingmux

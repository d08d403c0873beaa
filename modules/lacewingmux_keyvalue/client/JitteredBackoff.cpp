#include "lacewingmux_keyvalue/client/JitteredBackoff.h"

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
    const auto half = this->current / 2;
    const auto spread = std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(half.count()) * random));
    this->current = std::min(this->current * 2, this->longest);
    return half + spread;
}

void JitteredBackoff::reset()
{
    this->current = this->first;
}

} // namespace lacewingmux

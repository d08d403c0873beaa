#include "lacewingmux_peer/links/ReconnectBackoff.h"

#include <algorithm>

namespace lacewingmux {

ReconnectBackoff::ReconnectBackoff(std::chrono::milliseconds shortestWait,
                                   std::chrono::milliseconds longestWait)
    : shortest(shortestWait)
    , longest(longestWait)
    , current(shortestWait)
{ }

std::chrono::milliseconds ReconnectBackoff::next(double random)
{
    const double share = 0.5 + 0.5 * std::clamp(random, 0.0, 1.0);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(this->current * share);
    this->current = std::min(this->current * 2, this->longest);
    return std::max(wait, std::chrono::milliseconds(1));
}

void ReconnectBackoff::reset()
{
    this->current = this->shortest;
}

} // namespace lacewingmux

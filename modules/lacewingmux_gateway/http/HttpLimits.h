#pragma once

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** Limits on the size of a caller's requests, the time to send them, and idle time. */
struct HttpLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

} // namespace lacewingmux

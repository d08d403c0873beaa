#pragma once

#include <algorithm>
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

    [[nodiscard]] bool operator==(const HttpLimits &) const = default;

    /** Returns the larger one of each limit. */
    [[nodiscard]] HttpLimits widenedBy(const HttpLimits &other) const
    {
        return {std::max(this->headerBytes, other.headerBytes),
                std::max(this->bodyBytes, other.bodyBytes),
                std::max(this->headerTimeout, other.headerTimeout),
                std::max(this->idleTimeout, other.idleTimeout)};
    }
};

} // namespace lacewingmux

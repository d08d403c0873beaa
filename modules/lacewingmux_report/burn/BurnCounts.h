#pragma once

#include <cstdint>

namespace lacewingmux {

/** Requests of one team on one route within a stretch of time, judged against its objective. */
struct BurnCounts
{
    std::uint64_t requests = 0;
    std::uint64_t failed = 0; ///< refused or failed through no fault of the caller
    std::uint64_t slow = 0;   ///< answered, but later than the objective's latency

    BurnCounts &operator+=(const BurnCounts &other) noexcept
    {
        this->requests += other.requests;
        this->failed += other.failed;
        this->slow += other.slow;
        return *this;
    }

    friend bool operator==(const BurnCounts &, const BurnCounts &) = default;
};

} // namespace lacewingmux

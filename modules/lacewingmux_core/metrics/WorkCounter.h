#pragma once

#include <cstdint>

namespace lacewingmux {

/**
    Counts the steps that decisions take on this thread: candidates looked at, and comparisons in
    ordered structures. Bounds on how decisions grow are checked against it, because processor time
    depends on what else the machine does.
*/
class WorkCounter
{
public:
    /** Notes steps. */
    static void note(std::uint64_t steps = 1) noexcept
    {
        count += steps;
    }

    /** Returns how many steps have been noted on this thread. */
    [[nodiscard]] static std::uint64_t steps() noexcept
    {
        return count;
    }

private:
    static inline thread_local std::uint64_t count = 0;
};

} // namespace lacewingmux

#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace lacewingmux {

/** One of the stretches of time, ending now, for which burn rates are reported. */
struct BurnWindow
{
    const char *name;
    std::chrono::minutes length;
};

/** The reported windows, shortest first. */
inline constexpr std::array<BurnWindow, 4> burnWindows{{
        {"5m", std::chrono::minutes(5)},
        {"1h", std::chrono::hours(1)},
        {"6h", std::chrono::hours(6)},
        {"3d", std::chrono::hours(72)},
}};

inline constexpr std::size_t burnWindowCount = burnWindows.size();

} // namespace lacewingmux

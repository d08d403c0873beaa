#pragma once

#include <chrono>

namespace lacewingmux {

/** How long a front may use a token, counted on its own clock from before it sent the request. */
inline constexpr std::chrono::milliseconds tokenLifetime{400};

/** How long an owner counts a granted token as usable: the lifetime and a margin for clock drift.
 */
inline constexpr std::chrono::milliseconds tokenOutstandingTime{420};

} // namespace lacewingmux

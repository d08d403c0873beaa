#pragma once

#include <cstdint>

namespace lacewingmux {

/** The method of a call without a body. */
enum class HttpVerb : std::uint8_t { Get, Delete };

} // namespace lacewingmux

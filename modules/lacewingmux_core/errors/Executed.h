#pragma once

#include <cstdint>

namespace lacewingmux {

/** What is known about whether a refused or failed request took effect. */
enum class Executed : std::uint8_t {
    No,      ///< a promise: this request was not run and never will be
    Unknown, ///< it may have run; it will not be run again
    Yes      ///< it ran, though its answer could not be delivered
};

} // namespace lacewingmux

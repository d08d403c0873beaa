#pragma once

#include <cstdint>

namespace lacewingmux {

/** What to do with a program's prefix at its replica while the program pauses. */
enum class RetentionAction : std::uint8_t {
    Keep,   ///< leave it in the engine's memory
    Export, ///< move it out of the engine, to be imported when the program goes on
    Drop    ///< release it, to be computed again
};

} // namespace lacewingmux

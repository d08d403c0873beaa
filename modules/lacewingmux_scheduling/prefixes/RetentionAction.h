#pragma once

#include <cstdint>

namespace lacewingmux {

/** The action taken on a program's cached prefix at its replica while the program pauses. */
enum class RetentionAction : std::uint8_t {
    Keep,   ///< leave it in the engine's memory
    Export, ///< move it out of the engine and import it when the program resumes
    Drop    ///< release it; it is computed again if the program resumes
};

} // namespace lacewingmux

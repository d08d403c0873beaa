#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace lacewingmux {

/** Why ProgramAdmission rejected a program. */
enum class ProgramRejection : std::uint8_t {
    StartsTooLate, ///< even the best replica would start it too late
    BehindEarlier  ///< callers of equal claim that were rejected earlier return first
};

/** The decision of ProgramAdmission. */
struct ProgramDecision
{
    std::optional<ProgramRejection> rejection; ///< nothing: admitted
    /** Expected time until the best replica starts the turn; nothing if the reports do not tell. */
    std::optional<std::chrono::milliseconds> expectedWait;
    std::chrono::milliseconds oldestReport{0}; ///< age of the oldest report that was used
    std::chrono::milliseconds waited{0};       ///< since the program was rejected first
    std::chrono::milliseconds retryAfter{0};   ///< set only for a rejected program
    bool keepsPlace = false; ///< rejected, and can return while its start is still useful
};

} // namespace lacewingmux

#pragma once

#include <QByteArray>

#include <chrono>
#include <optional>

namespace lacewingmux {

/** A program's first turn that asks for admission. */
struct ProgramAdmissionRequest
{
    QByteArray program;
    std::optional<std::chrono::milliseconds> timeLeft; ///< until the program's target
    /** Mean time that a turn of the service occupies a replica; nothing if unknown. */
    std::optional<std::chrono::milliseconds> turnTime;
    int level = 0; ///< of the team or the route; 0 is the most urgent
};

} // namespace lacewingmux

#pragma once

#include <QtGlobal>

#include <cstdint>

namespace lacewingmux {

/** Returns how many seeds to run: the usual number, or what LACEWINGMUX_MODEL_SCHEDULES says. */
inline std::uint64_t scheduleCount(std::uint64_t usual)
{
    const int requested = qEnvironmentVariableIntValue("LACEWINGMUX_MODEL_SCHEDULES");
    return requested > 0 ? static_cast<std::uint64_t>(requested) : usual;
}

} // namespace lacewingmux

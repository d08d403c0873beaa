#pragma once

#include <QtGlobal>

#include <cstdint>

namespace lacewingmux {

/** Returns the number of seeds to run: LACEWINGMUX_MODEL_SCHEDULES if set, else the default. */
inline std::uint64_t scheduleCount(std::uint64_t defaultCount)
{
    const int requested = qEnvironmentVariableIntValue("LACEWINGMUX_MODEL_SCHEDULES");
    return requested > 0 ? static_cast<std::uint64_t>(requested) : defaultCount;
}

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <chrono>

namespace lacewingmux::soak {

/** A planned stop of an entry VM. */
struct VmStop
{
    static constexpr std::chrono::milliseconds limit{8000}; ///< from SIGTERM to SIGKILL

    QByteArray vm;
    TimerService::SteadyTime begin;
    bool wasKilled = false; ///< it didn't end within the limit
};

} // namespace lacewingmux::soak

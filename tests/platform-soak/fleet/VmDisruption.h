#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <chrono>

namespace lacewingmux::soak {

/** A planned stop of an entry VM, or a pause of its process. */
struct VmDisruption
{
    static constexpr std::chrono::milliseconds stopLimit{8000}; ///< from SIGTERM to SIGKILL

    QByteArray vm;
    TimerService::SteadyTime begin;
    bool isStop = true;
    TimerService::SteadyTime end; ///< of a pause
    bool wasKilled = false;       ///< a stop that took longer than its limit
};

} // namespace lacewingmux::soak

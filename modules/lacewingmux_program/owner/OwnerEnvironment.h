#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_program/owner/ProgramOwnerSettings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lacewingmux {

class CallDispatcher;
class Configuration;
class Journal;
class MetricsRecorder;
class TimerService;

/** Dependencies and settings of a ProgramOwner. The references must outlive it. */
struct OwnerEnvironment
{
    Journal &journal;
    CallDispatcher &dispatcher;
    TimerService &timers;
    MetricsRecorder &metrics;
    VmIncarnation self;
    std::function<std::uint64_t()> zoneEpoch; ///< epoch of the current view, for ids generated here
    ProgramOwnerSettings settings;
    std::shared_ptr<const Configuration> configuration;
};

} // namespace lacewingmux

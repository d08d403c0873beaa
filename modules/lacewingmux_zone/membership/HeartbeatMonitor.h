#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <map>
#include <vector>

namespace lacewingmux {

/**
    Records when each watched VM was last heard from. It has no clock; callers pass the time in.

    A newly watched VM counts as heard at that moment. So does every VM after this process itself
    was paused, since heartbeats missed during the pause don't indicate a failure.
*/
class HeartbeatMonitor
{
public:
    using Time = TimerService::SteadyTime;

    /** Sets the watched VMs; VMs that stay watched keep their last time. */
    void watch(const std::vector<VmIncarnation> &vms, Time now);

    /** Records a heartbeat from a VM; VMs that aren't watched are ignored. */
    void recordHeartbeat(const VmIncarnation &vm, Time now);

    /**
        Must be called at each heartbeat interval. A gap of more than half the failure timeout
        since the last call means that this process was paused; every VM then counts as heard now.
    */
    void tick(Time now, std::chrono::milliseconds failureTimeout);

    /** Returns the watched VMs silent for at least the timeout, longest silence first. */
    [[nodiscard]] std::vector<VmIncarnation> silentVms(Time now,
                                                       std::chrono::milliseconds timeout) const;

    [[nodiscard]] bool isWatched(const VmIncarnation &vm) const;

private:
    std::map<VmIncarnation, Time> lastHeard;
    Time lastTick{};
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <map>
#include <vector>

namespace lacewingmux {

/**
    When each watched VM was last heard. Pure: time is passed in.

    A VM that is watched anew counts as heard at that moment, and so does every VM after this
    process itself stood still: silence that nobody listened to proves nothing.
*/
class HeartbeatMonitor
{
public:
    using Time = TimerService::SteadyTime;

    /** Sets who is watched; what is known of those who stay is kept. */
    void watch(const std::vector<VmIncarnation> &vms, Time now);

    /** Notes that a VM was heard; one that isn't watched is ignored. */
    void heard(const VmIncarnation &vm, Time now);

    /**
        To be called at each heartbeat interval. A gap of more than half the failure timeout since
        the last call means that this process was paused, and every VM then counts as heard now.
    */
    void tick(Time now, std::chrono::milliseconds failureTimeout);

    /** Returns the watched VMs silent for at least the timeout, the longest silent first. */
    [[nodiscard]] std::vector<VmIncarnation> silent(Time now,
                                                    std::chrono::milliseconds timeout) const;

    [[nodiscard]] bool isWatched(const VmIncarnation &vm) const;

private:
    std::map<VmIncarnation, Time> lastHeard;
    Time lastTick{};
};

} // namespace lacewingmux

#include "lacewingmux_zone/membership/HeartbeatMonitor.h"

#include <algorithm>

namespace lacewingmux {

void HeartbeatMonitor::watch(const std::vector<VmIncarnation> &vms, Time now)
{
    std::map<VmIncarnation, Time> watched;
    for (const VmIncarnation &vm : vms) {
        const auto known = this->lastHeard.find(vm);
        watched.emplace(vm, known == this->lastHeard.end() ? now : known->second);
    }
    this->lastHeard = std::move(watched);
}

void HeartbeatMonitor::recordHeartbeat(const VmIncarnation &vm, Time now)
{
    const auto known = this->lastHeard.find(vm);
    if (known != this->lastHeard.end())
        known->second = now;
}

void HeartbeatMonitor::tick(Time now, std::chrono::milliseconds failureTimeout)
{
    const bool wasPaused = this->lastTick != Time{} && now - this->lastTick > failureTimeout / 2;
    this->lastTick = now;
    if (!wasPaused)
        return;
    for (auto &[vm, heardAt] : this->lastHeard)
        heardAt = now;
}

std::vector<VmIncarnation> HeartbeatMonitor::silentVms(Time now,
                                                       std::chrono::milliseconds timeout) const
{
    std::vector<VmIncarnation> result;
    for (const auto &[vm, heardAt] : this->lastHeard) {
        if (now - heardAt >= timeout)
            result.push_back(vm);
    }
    std::stable_sort(result.begin(), result.end(), [this](const auto &left, const auto &right) {
        return this->lastHeard.at(left) < this->lastHeard.at(right);
    });
    return result;
}

bool HeartbeatMonitor::isWatched(const VmIncarnation &vm) const
{
    return this->lastHeard.contains(vm);
}

} // namespace lacewingmux

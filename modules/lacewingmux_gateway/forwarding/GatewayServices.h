#pragma once

#include <chrono>
#include <memory>
#include <optional>

namespace lacewingmux {

class MetricsRecorder;
class ReplicaFleet;
class RoutingTable;
class TeamQuota;
class TimerService;
class TurnStore;
struct CallDialect;

/** What calls use together on one traffic thread. */
struct GatewayServices
{
    TimerService &timers;
    const CallDialect &dialect;
    ReplicaFleet &fleet;
    TeamQuota &quota;
    TurnStore &ledger;
    MetricsRecorder &metrics;
    std::shared_ptr<const RoutingTable> table; ///< null until a configuration is known
    bool takesRequests = true;                 ///< false late in a planned stop
    /** Set while too few records VMs can be reached: when a caller that comes back reaches
        another VM. */
    std::optional<std::chrono::milliseconds> detour;
};

} // namespace lacewingmux

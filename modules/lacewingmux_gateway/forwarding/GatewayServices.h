#pragma once

#include <memory>

namespace lacewingmux {

class MetricsRecorder;
class ReplicaFleet;
class RoutingTable;
class TeamQuota;
class TimerService;
class TurnLedger;
struct CallDialect;

/** What calls use together on one traffic thread. */
struct GatewayServices
{
    TimerService &timers;
    const CallDialect &dialect;
    ReplicaFleet &fleet;
    TeamQuota &quota;
    TurnLedger &ledger;
    MetricsRecorder &metrics;
    std::shared_ptr<const RoutingTable> table; ///< null until a configuration is known
    bool takesRequests = true;                 ///< false late in a planned stop
};

} // namespace lacewingmux

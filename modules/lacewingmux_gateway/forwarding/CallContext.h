#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <chrono>
#include <memory>
#include <optional>

namespace lacewingmux {

class MetricsRecorder;
class ReplicaFleet;
class MemoryAccount;
class RoutingTable;
class ServiceAdmission;
class TeamQuota;
class TurnStore;
struct CallDialect;

/** The services that the calls of one traffic thread share. */
struct CallContext
{
    TimerService &timers;
    const CallDialect &dialect;
    ReplicaFleet &fleet;
    ServiceAdmission &admission;
    TeamQuota &quota;
    TurnStore &turnStore;
    MemoryAccount &responseMemory;
    MemoryAccount &historyMemory;       ///< of the long histories that calls hold
    qsizetype maximumConversationBytes; ///< of a history and the new input
    MetricsRecorder &metrics;
    std::shared_ptr<const RoutingTable> table; ///< null until a configuration is loaded
    /** Set in a planned stop: when a call must have ended at the latest to be accepted. */
    std::optional<TimerService::SteadyTime> latestCallEnd;
    /** Set while too few records VMs are reachable: the delay after which a retrying caller reaches
        another VM. */
    std::optional<std::chrono::milliseconds> recordsUnreachableRetryDelay;
};

} // namespace lacewingmux

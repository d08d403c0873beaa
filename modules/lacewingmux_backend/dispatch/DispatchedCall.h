#pragma once

#include "lacewingmux_allowance/admission/PowerReservation.h"
#include "lacewingmux_backend/clients/BackendRun.h"
#include "lacewingmux_backend/replicas/ReplicaRecord.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_program/dispatch/CallDispatcher.h"
#include "lacewingmux_scheduling/queue/WorkItem.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewingmux {

/** The state of a dispatched call. */
enum class DispatchState : std::uint8_t {
    Received,       ///< not yet admitted to a queue
    Queued,         ///< waiting for a replica
    Starting,       ///< replica selected; waiting for power or for the import of a prefix
    Running,        ///< sent to the replica
    CheckingReplica ///< connection lost; the replica is probed for a crash
};

/** A call that was dispatched and has no result yet. */
struct DispatchedCall
{
    DispatchHandle handle = 0;
    DispatchRequest request;
    DispatchListener listener;
    DispatchState state = DispatchState::Received;
    WorkItem item;
    TimerService::SteadyTime enqueuedAt;
    TimerService::SteadyTime startedAt; ///< start of the current attempt
    TimerSubscription queueTimeout;
    TimerService::SteadyTime queueDeadline;
    int attempts = 0;              ///< how often the call was sent to a replica
    std::vector<QString> excluded; ///< replicas on which an attempt failed
    bool suspect = false;          ///< ran during a crash; not run together with other suspects
    bool waitedForPower = false;   ///< whether its last attempt to start got no power
    bool mayHaveRun = false;       ///< whether an earlier attempt may have run

    ReplicaRecord replica; ///< replica of the current attempt
    QString instance;      ///< process instance of the replica when the attempt began
    std::int64_t expectedCachedTokens = 0;
    PowerReservation power;
    std::unique_ptr<BackendRun> run;
};

} // namespace lacewingmux

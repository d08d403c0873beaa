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

/** How far a dispatched call has come. */
enum class DispatchState : std::uint8_t {
    Received,       ///< not looked at yet
    Queued,         ///< waits for a replica
    Starting,       ///< a replica is chosen; power or an exported prefix is awaited
    Running,        ///< sent to the replica
    CheckingReplica ///< its connection was lost, and the replica is asked whether it lives
};

/** A call between its dispatch and its result. */
struct DispatchedCall
{
    DispatchHandle handle = 0;
    DispatchRequest request;
    DispatchListener listener;
    DispatchState state = DispatchState::Received;
    WorkItem item;
    TimerService::SteadyTime enqueuedAt;
    TimerService::SteadyTime startedAt; ///< of the present attempt
    TimerSubscription queueTimeout;
    TimerService::SteadyTime queueDeadline;
    int attempts = 0;              ///< how often it was sent
    std::vector<QString> excluded; ///< replicas that failed it
    bool suspect = false;          ///< ran at a crash, so it runs apart from other suspects
    bool waitedForPower = false;   ///< the last thing it waited for was power
    bool mayHaveRun = false;       ///< an earlier attempt may have run

    ReplicaRecord replica; ///< of the present attempt
    QString instance;      ///< start of the replica's process when the attempt began
    std::int64_t expectedCachedTokens = 0;
    PowerReservation power;
    std::unique_ptr<BackendRun> run;
};

} // namespace lacewingmux

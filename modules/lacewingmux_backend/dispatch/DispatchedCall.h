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
    Queued,         ///< waiting for a replica or for power
    Starting,       ///< replica selected; waiting for the power reservation or for a prefix import
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
    TimerService::SteadyTime receivedAt;
    TimerService::SteadyTime startedAt; ///< start of the current attempt
    TimerSubscription queueTimer;
    TimerService::SteadyTime queueDeadline;
    int attempts = 0;                     ///< how often the call was sent to a replica
    int confirmedAttempts = 0;            ///< attempts for which the ownership was confirmed
    TimerService::SteadyTime confirmedAt; ///< when the last confirmation was asked for
    std::vector<QString> excluded;        ///< replicas on which an attempt failed
    /** Whether its content ran on a replica when that crashed. Such a call is not run on one
        replica with other suspects. */
    bool suspect = false;
    bool waitedForPower = false; ///< whether its last attempt to start got no power
    bool mayHaveRun = false;     ///< whether an earlier attempt may have run

    ReplicaRecord replica; ///< replica of the current attempt
    QString instance;      ///< process instance of the replica when the attempt began
    std::int64_t expectedCachedTokens = 0;
    PowerReservation powerReservation;
    std::unique_ptr<BackendRun> run;
};

} // namespace lacewingmux

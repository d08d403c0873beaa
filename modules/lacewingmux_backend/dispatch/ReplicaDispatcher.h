#pragma once

#include "lacewingmux_backend/clients/ConnectionPool.h"
#include "lacewingmux_backend/clients/EngineClient.h"
#include "lacewingmux_backend/clients/ServiceClient.h"
#include "lacewingmux_backend/dispatch/DispatchedCall.h"
#include "lacewingmux_backend/dispatch/ReplicaMonitor.h"
#include "lacewingmux_backend/dispatch/RoutePool.h"
#include "lacewingmux_backend/orders/ProgramCacheManager.h"
#include "lacewingmux_backend/replicas/ReplicaSet.h"
#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/protection/Quarantine.h"
#include "lacewingmux_program/dispatch/CallDispatcher.h"
#include "lacewingmux_scheduling/replicas/PrefixDirectory.h"

#include <QHash>
#include <QString>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

class MetricsRecorder;
class PowerBudget;
class TimerService;

/** Parameters of a ReplicaDispatcher. */
struct ReplicaDispatcherSettings
{
    std::int64_t maxResponseBytes = std::int64_t{16} * 1024 * 1024;
    int maxAttempts = 4;    ///< maximum number of times one call is sent
    std::uint64_t seed = 0; ///< seed of the random replica selection and jitter
};

/** Dependencies of a ReplicaDispatcher; all of them must outlive the dispatcher. */
struct ReplicaDispatcherEnvironment
{
    TimerService &timers;
    MetricsRecorder &metrics;
    PowerBudget *power = nullptr; ///< null when power is not accounted for
    VmIncarnation self;
    /** Called for each new coincidence; must send it to all VMs. */
    std::function<void(const CrashCoincidence &)> coincidenceRecorded;
};

/**
    Runs calls on the replicas of its zone. Runs on a traffic thread.

    A call waits in the queue of its route until a replica has capacity and power is reserved. It is
    retried only when that is safe: when it certainly did not run, or when it is idempotent, not
    quarantined, and the route's retry budget allows it. A call that is not idempotent and may have
    run ends with Executed::Unknown. A request whose replica crashes while running it is recorded
    as a suspect; after its second crash it is quarantined on all VMs of the fleet.
*/
class ReplicaDispatcher final : public CallDispatcher
{
public:
    ReplicaDispatcher(const ReplicaDispatcherEnvironment &dispatcherEnvironment,
                      const ReplicaDispatcherSettings &dispatcherSettings = {});
    ~ReplicaDispatcher() override;
    ReplicaDispatcher(const ReplicaDispatcher &) = delete;
    ReplicaDispatcher &operator=(const ReplicaDispatcher &) = delete;

    DispatchHandle dispatch(const DispatchRequest &request, DispatchListener listener) override;
    void cancel(DispatchHandle call, ErrorKind reason) override;
    void programEnded(const QString &program) override;
    void programPaused(const QString &program, std::int64_t prefixTokens) override;

    /** Sets the current replicas and their loads. */
    void adoptReplicas(const std::shared_ptr<const ReplicaSet> &replicaSet);

    /** Sets how many VMs of the zone send calls to the same replicas. Each VM may use at least an
        equal share of the pool's capacity. */
    void setSendingVms(int vms);

    /** Returns the lease that determines whether orders may be sent to engines. */
    [[nodiscard]] OrderLease &orderLease() noexcept
    {
        return this->programCaches.lease();
    }

    /** Records a crash coincidence that another VM observed. */
    void addRemoteCoincidence(const CrashCoincidence &coincidence);

    /** Returns all recorded crash coincidences, for a VM that connects. */
    [[nodiscard]] std::vector<CrashCoincidence> crashCoincidences() const;

    /** Returns the number of calls that are waiting or running. */
    [[nodiscard]] std::size_t activeCalls() const noexcept
    {
        return this->calls.size();
    }

    /** Returns the number of orders that engines have not confirmed yet. */
    [[nodiscard]] std::size_t unconfirmedOrders() const noexcept
    {
        return this->programCaches.unconfirmedOrders();
    }

private:
    /** The waiting and running calls of one program on this VM. */
    struct ActiveProgram
    {
        int calls = 0;
        bool ended = false; ///< its caches are released after the last call
    };

    void admit(DispatchHandle handle);
    void enqueue(DispatchedCall &call);
    void queueTimedOut(DispatchedCall &call);
    void scheduleQueueProcessing(const QString &route);
    void processQueue(const QString &route);
    [[nodiscard]] bool startNext(RoutePool &pool, std::vector<DispatchHandle> &deferred);
    [[nodiscard]] std::optional<ReplicaChoice> choose(const RoutePool &pool,
                                                      const DispatchedCall &call);
    [[nodiscard]] bool hasUsableReplica(const RoutePool &pool) const;
    void startCall(RoutePool &pool, DispatchedCall &call, const ReplicaChoice &choice);
    void powerDecided(DispatchHandle handle, std::optional<PowerReservation> reservation);
    void waitForPower(const QString &route);
    void send(DispatchHandle handle);
    /** Asks the owner for permission if the call needs it; returns whether it can be sent now. */
    [[nodiscard]] bool confirmOwnership(DispatchedCall &call);
    /** Sends the call, or asks the owner again if the confirmation has expired. */
    void ownershipConfirmed(DispatchHandle handle, TimerService::SteadyTime askedAt);
    void runFinished(DispatchHandle handle, const BackendResponse &response);
    void responseReceived(DispatchedCall &call, const BackendResponse &response);
    void connectionLost(DispatchedCall &call, const BackendResponse &response);
    void crashCheckFinished(DispatchHandle handle, const BackendResponse &response, bool crashed);
    void recordCrash(const DispatchedCall &call);
    [[nodiscard]] bool retryCall(DispatchedCall &call, bool certainlyNotRun);
    void requeue(DispatchedCall &call);
    void releaseReplica(DispatchedCall &call);
    void finish(DispatchHandle handle, DispatchResult result);
    void programCallFinished(const QString &program);
    [[nodiscard]] bool isProgramEnded(const QString &program) const;
    void recordMetrics(const DispatchedCall &call, const DispatchResult &result);
    void updateReplicaState(const QString &replica);
    [[nodiscard]] QuarantineVerdict quarantineVerdict(const DispatchedCall &call) const;
    [[nodiscard]] DispatchResult quarantinedResult(const DispatchedCall &call,
                                                   Executed executed) const;
    [[nodiscard]] DispatchedCall *find(DispatchHandle handle);

    ReplicaDispatcherEnvironment environment;
    ReplicaDispatcherSettings settings;
    TimerService &timers;
    std::mt19937_64 random;
    ConnectionPool connections;
    EngineClient engineClient;
    ServiceClient serviceClient;
    ReplicaMonitor monitor;
    ProgramCacheManager programCaches;
    Quarantine quarantine;
    PrefixDirectory prefixes;
    int sendingVms = 1;
    std::shared_ptr<const ReplicaSet> replicas = std::make_shared<ReplicaSet>();
    std::map<QString, RoutePool> pools; ///< by route
    std::unordered_map<DispatchHandle, std::unique_ptr<DispatchedCall>> calls;
    std::unordered_map<QString, ActiveProgram> activePrograms; ///< by program
    DispatchHandle lastHandle = 0;
    /** Expires with this object, so that callbacks can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

} // namespace lacewingmux

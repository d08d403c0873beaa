#pragma once

#include "lacewingmux_backend/clients/ConnectionPool.h"
#include "lacewingmux_backend/clients/EngineClient.h"
#include "lacewingmux_backend/clients/ServiceClient.h"
#include "lacewingmux_backend/dispatch/DispatchedCall.h"
#include "lacewingmux_backend/dispatch/ReplicaMonitor.h"
#include "lacewingmux_backend/dispatch/RoutePool.h"
#include "lacewingmux_backend/orders/ProgramMemory.h"
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
    std::int64_t maxAnswerBytes = std::int64_t{16} * 1024 * 1024;
    int maxAttempts = 4;    ///< how often one call is sent at most
    std::uint64_t seed = 0; ///< of its random choices
};

/** What a ReplicaDispatcher works with; all of it outlives the dispatcher. */
struct ReplicaDispatcherEnvironment
{
    TimerService &timers;
    MetricsRecorder &metrics;
    PowerBudget *power = nullptr; ///< null when power is not counted
    VmIncarnation self;
    std::function<void(const CrashCoincidence &)> coincidenceSeen; ///< to be told to all VMs
};

/**
    Runs calls on the replicas of its zone; lives on a traffic thread.

    A call waits in the queue of its route until a replica has room and power is reserved. It is
    sent again only when that is safe: when it certainly was not run, or when it is idempotent, not
    quarantined, and the route's retry budget allows it. A call that isn't idempotent and may have
    run ends with Executed::Unknown. A call whose replica crashed under it is recorded as a
    suspect; at its second crash it is quarantined over the whole fleet.
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

    /** Takes the replicas that exist now, with their loads. */
    void adoptReplicas(const std::shared_ptr<const ReplicaSet> &replicaSet);

    /** Sets how many VMs of the zone send to the same replicas; each gets at least its even part.
     */
    void setSendingVms(int vms);

    /** Returns what decides when orders to engines may be sent. */
    [[nodiscard]] OrderLease &orderLease() noexcept
    {
        return this->memory.issuer();
    }

    /** Takes a coincidence that another VM saw. */
    void learn(const CrashCoincidence &coincidence);

    /** Returns all coincidences that are held, for a VM that joins. */
    [[nodiscard]] std::vector<CrashCoincidence> coincidences() const;

    /** Returns how many calls wait or run. */
    [[nodiscard]] std::size_t activeCalls() const noexcept
    {
        return this->calls.size();
    }

    /** Returns how many orders to engines are not yet confirmed. */
    [[nodiscard]] std::size_t unconfirmedOrders() const noexcept
    {
        return this->memory.unconfirmedOrders();
    }

private:
    /** The calls of one program that wait or run here. */
    struct ProgramActivity
    {
        int calls = 0;
        bool ended = false; ///< its memory is to be released after the last call
    };

    void arrive(DispatchHandle handle);
    void enqueue(DispatchedCall &call);
    void queueTimedOut(DispatchedCall &call);
    void schedulePump(const QString &route);
    void pump(const QString &route);
    [[nodiscard]] bool startNext(RoutePool &pool, std::vector<DispatchHandle> &parked);
    [[nodiscard]] std::optional<ReplicaChoice> choose(const RoutePool &pool,
                                                      const DispatchedCall &call);
    [[nodiscard]] bool canServe(const RoutePool &pool) const;
    void begin(RoutePool &pool, DispatchedCall &call, const ReplicaChoice &choice);
    void powerDecided(DispatchHandle handle, std::optional<PowerReservation> reservation);
    void waitForPower(const QString &route);
    void send(DispatchHandle handle);
    void answered(DispatchHandle handle, const BackendAnswer &answer);
    void answeredWhole(DispatchedCall &call, const BackendAnswer &answer);
    void connectionLost(DispatchedCall &call, const BackendAnswer &answer);
    void inquired(DispatchHandle handle, const BackendAnswer &answer, bool crashed);
    void recordCrash(const DispatchedCall &call);
    [[nodiscard]] bool sendAgain(DispatchedCall &call, bool certainlyNotRun);
    void backToQueue(DispatchedCall &call);
    void leaveReplica(DispatchedCall &call);
    void finish(DispatchHandle handle, DispatchResult result);
    void leaveProgram(const QString &program);
    [[nodiscard]] bool hasEnded(const QString &program) const;
    void recordMetrics(const DispatchedCall &call, const DispatchResult &result);
    void refreshState(const QString &replica);
    [[nodiscard]] QuarantineVerdict verdictOn(const DispatchedCall &call) const;
    [[nodiscard]] DispatchResult quarantinedResult(const DispatchedCall &call,
                                                   Executed executed) const;
    [[nodiscard]] DispatchedCall *find(DispatchHandle handle);

    ReplicaDispatcherEnvironment environment;
    ReplicaDispatcherSettings settings;
    TimerService &timers;
    std::mt19937_64 random;
    ConnectionPool connections;
    EngineClient engines;
    ServiceClient services;
    ReplicaMonitor monitor;
    ProgramMemory memory;
    Quarantine quarantine;
    PrefixDirectory prefixes;
    int sendingVms = 1;
    std::shared_ptr<const ReplicaSet> replicas = std::make_shared<ReplicaSet>();
    std::map<QString, RoutePool> pools; ///< by route
    std::unordered_map<DispatchHandle, std::unique_ptr<DispatchedCall>> calls;
    std::unordered_map<QString, ProgramActivity> activities; ///< by program
    DispatchHandle lastHandle = 0;
    std::shared_ptr<char> lifetime = std::make_shared<char>();
};

} // namespace lacewingmux

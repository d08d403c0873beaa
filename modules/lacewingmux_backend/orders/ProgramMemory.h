#pragma once

#include "lacewingmux_backend/clients/EngineClient.h"
#include "lacewingmux_backend/dispatch/PausedPrefixes.h"
#include "lacewingmux_backend/orders/CacheReleases.h"
#include "lacewingmux_backend/orders/OrderLease.h"
#include "lacewingmux_backend/replicas/ReplicaSet.h"

#include <QString>

#include <functional>
#include <memory>
#include <random>

namespace lacewingmux {

class ConnectionPool;
class TimerService;

/**
    The memory that programs hold on this zone's engines: kept, exported or dropped while they
    pause, and released when they end. Sends the orders for it, as far as its issuer allows.
*/
class ProgramMemory
{
public:
    /** The handler is told each ended program that no engine holds any more. */
    ProgramMemory(ConnectionPool &connectionPool, TimerService &timerService,
                  std::mt19937_64 &randomSource, VmIncarnation self,
                  std::function<void(const QString &program)> releasedHandler);
    ProgramMemory(const ProgramMemory &) = delete;
    ProgramMemory &operator=(const ProgramMemory &) = delete;

    /** Returns what decides when orders may be sent. */
    [[nodiscard]] OrderLease &issuer() noexcept
    {
        return this->orderLease;
    }

    /** Takes the replicas that exist now. */
    void adoptReplicas(std::shared_ptr<const ReplicaSet> replicaSet);

    /** Notes that the replica restarted and holds nothing any more. */
    void replicaRestarted(const QString &replica);

    /** Notes that a program's call arrived. */
    void called(const QString &program, const QString &team, const QString &route);

    /** Notes that a call of the program goes to the replica. */
    void mayHold(const QString &program, const QString &replica);

    /** Puts an exported prefix of the program into the replica, then calls back; at once when there
        is none. */
    void prepare(const QString &program, const ReplicaRecord &replica,
                 std::function<void()> callback);

    /** Decides about the prefix of a program that pauses; returns whether it stays where it is. */
    bool paused(const QString &program, const QString &replica, std::int64_t prefixTokens);

    /** Releases what an ended program holds, until every engine has confirmed it. */
    void ended(const QString &program);

    /** Returns how many orders are not yet confirmed. */
    [[nodiscard]] std::size_t unconfirmedOrders() const noexcept
    {
        return this->releases.unconfirmed();
    }

private:
    void sendOrder(const QString &replica, EngineOrderKind kind, const QString &program,
                   std::function<void(OrderOutcome)> callback);
    void exportThenDrop(const QString &program, const ReplicaRecord &replica);
    [[nodiscard]] std::vector<QString> allEngines() const;

    TimerService &timers;
    EngineClient engines;
    OrderLease orderLease;
    PausedPrefixes pauses;
    std::shared_ptr<const ReplicaSet> replicas = std::make_shared<ReplicaSet>();
    CacheReleases releases;
};

} // namespace lacewingmux

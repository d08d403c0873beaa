#pragma once

#include "lacewingmux_backend/clients/EngineClient.h"
#include "lacewingmux_backend/dispatch/PausedPrefixes.h"
#include "lacewingmux_backend/orders/CacheReleaseTracker.h"
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
    Manages the cached prefixes of programs on this zone's engines. Prefixes are kept, exported or
    dropped while a program pauses, and released when it ends. Orders are sent only while the order
    lease permits it.
*/
class ProgramCacheManager
{
public:
    /** The handler is called for each ended program of which no engine holds a cached prefix any
        more. */
    ProgramCacheManager(ConnectionPool &connectionPool, TimerService &timerService,
                        std::mt19937_64 &randomSource, VmIncarnation self,
                        std::function<void(const QString &program)> releasedHandler);
    ProgramCacheManager(const ProgramCacheManager &) = delete;
    ProgramCacheManager &operator=(const ProgramCacheManager &) = delete;

    /** Returns the lease that determines whether orders may be sent. */
    [[nodiscard]] OrderLease &lease() noexcept
    {
        return this->orderLease;
    }

    /** Sets the current replicas. */
    void adoptReplicas(std::shared_ptr<const ReplicaSet> replicaSet);

    /** Records that the replica restarted and therefore holds no prefixes. */
    void replicaRestarted(const QString &replica);

    /** Records the arrival of a call of the program. */
    void called(const QString &program, const QString &team, const QString &route);

    /** Records that the replica may hold the program's prefix, because a call of the program is
        sent to it. */
    void recordPrefixHolder(const QString &program, const QString &replica);

    /** Imports the program's exported prefix into the replica, then invokes the callback. It is
        invoked immediately when there is no exported prefix. */
    void importPrefix(const QString &program, const ReplicaRecord &replica,
                      std::function<void()> callback);

    /** Decides whether to keep, export or drop the prefix of a program that pauses. Returns false
        when the prefix is to be dropped from the replica, possibly after an export. */
    bool handlePause(const QString &program, const QString &replica, std::int64_t prefixTokens);

    /** Releases the prefixes of an ended program, resending orders until all engines confirm. */
    void ended(const QString &program);

    /** Returns the number of unconfirmed orders. */
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
    EngineClient engineClient;
    OrderLease orderLease;
    PausedPrefixes pausedPrefixes;
    std::shared_ptr<const ReplicaSet> replicas = std::make_shared<ReplicaSet>();
    CacheReleaseTracker releases;
};

} // namespace lacewingmux

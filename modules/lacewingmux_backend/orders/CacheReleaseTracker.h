#pragma once

#include "lacewingmux_backend/clients/EngineOrder.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <QHash>
#include <QString>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

class TimerService;

/**
    Tracks which engines may hold cached prefixes of which programs, and sends the orders that
    release these prefixes.

    An order is resent with exponential backoff until the engine confirms it, or has restarted or
    left, which clears its memory as well. An engine that does not support the endProgram order
    receives dropCache instead.
*/
class CacheReleaseTracker
{
public:
    /** Sends one order about a program to a replica and invokes the callback once, possibly before
        it returns. */
    using SendOrder =
            std::function<void(const QString &replica, EngineOrderKind kind, const QString &program,
                               std::function<void(OrderOutcome)> callback)>;
    using Released = std::function<void(const QString &program)>;

    /** The last parameter is called for each ended program of which no engine holds a cached prefix
        any more. */
    CacheReleaseTracker(TimerService &timerService, std::mt19937_64 &randomSource,
                        SendOrder orderSender, Released releasedHandler);
    CacheReleaseTracker(const CacheReleaseTracker &) = delete;
    CacheReleaseTracker &operator=(const CacheReleaseTracker &) = delete;

    /** Records that the replica may hold the program's prefix, because a call of the program is
        sent to it. Cancels an unconfirmed dropCache order to the replica. */
    void recordPrefixHolder(const QString &program, const QString &replica);

    /**
        Ends a program on every replica that may hold it. Without a record of the program, as after
        its owner failed, this is every replica.
    */
    void endProgram(const QString &program, const std::vector<QString> &allReplicas);

    /** Drops the cached prefix of a program that continues. */
    void dropPrefix(const QString &program);

    /** Records that a replica restarted or left and therefore holds no prefixes. */
    void replicaCleared(const QString &replica);

    /** Returns the replicas that may hold the program's prefix. */
    [[nodiscard]] std::vector<QString> holders(const QString &program) const;

    /** Returns the number of unconfirmed orders. */
    [[nodiscard]] std::size_t unconfirmed() const noexcept
    {
        return this->orders.size();
    }

private:
    struct OrderKey
    {
        QString program;
        QString replica;

        friend bool operator<(const OrderKey &left, const OrderKey &right) noexcept
        {
            return left.program != right.program ? left.program < right.program
                                                 : left.replica < right.replica;
        }
    };
    struct PendingOrder
    {
        EngineOrderKind kind = EngineOrderKind::DropCache;
        std::uint64_t serial = 0; ///< distinguishes it from an earlier order with the same key
        bool endsProgram = false;
        std::chrono::milliseconds backoff{0};
        TimerSubscription retry;
    };

    void addOrder(const OrderKey &key, bool endsProgram);
    void send(const OrderKey &key);
    void sendFinished(const OrderKey &key, std::uint64_t serial, OrderOutcome outcome);
    void scheduleRetry(const OrderKey &key, PendingOrder &order);
    /** Removes an order that needs no retry, and reports the program as released when this was the
        last order that ends it. */
    void removeOrder(const OrderKey &key);
    void removeHolder(const OrderKey &key);
    [[nodiscard]] bool isEnding(const QString &program) const;

    TimerService &timers;
    std::mt19937_64 &random;
    SendOrder sendOrder;
    Released released;
    std::uint64_t lastSerial = 0;
    std::unordered_map<QString, std::set<QString>> holdersOf; ///< by program
    std::map<OrderKey, PendingOrder> orders;
    /** Expires with this object, so that callbacks can check whether it still exists. */
    std::shared_ptr<char> lifetimeToken = std::make_shared<char>();
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <QByteArray>
#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace lacewingmux::standin {

/** The items of the operators' key-value store with their history and leases, without sockets. */
class StoreContents
{
public:
    /** The status and body of a reply. */
    struct Reply
    {
        int status = 200;
        QJsonObject body;
    };

    /** Calls the hook after each change. */
    StoreContents(TimerService &timerService, std::function<void()> changeHook);
    StoreContents(const StoreContents &) = delete;
    StoreContents &operator=(const StoreContents &) = delete;

    void put(const QByteArray &key, const QByteArray &value, std::int64_t lease = 0);
    void remove(const QByteArray &key);

    /** Returns an item, or status 404. */
    [[nodiscard]] Reply item(const QByteArray &key) const;

    /** Returns all items below the prefix behind a key. */
    [[nodiscard]] Reply list(const QByteArray &prefix, const QByteArray &afterKey) const;

    /** Returns the changes below the prefix since a revision; the events may be none. */
    [[nodiscard]] Reply changes(const QByteArray &prefix, std::int64_t afterRevision) const;

    /** Applies all entries of a transaction or none. */
    [[nodiscard]] Reply transact(const QJsonObject &transaction);

    [[nodiscard]] Reply grantLease(std::chrono::milliseconds duration);
    [[nodiscard]] Reply renewLease(std::int64_t lease);
    [[nodiscard]] Reply endLease(std::int64_t lease);

private:
    struct Lease
    {
        std::chrono::milliseconds duration{0};
        TimerSubscription expiry;
    };

    void record(const QByteArray &key, QJsonObject item);
    void scheduleExpiry(std::int64_t lease);
    void removeLease(std::int64_t lease);
    [[nodiscard]] bool holds(const QJsonObject &expectation) const;
    [[nodiscard]] bool namesLostLease(const QJsonObject &transaction) const;
    [[nodiscard]] Reply conflict(const QJsonObject &transaction) const;
    [[nodiscard]] QJsonObject withRevision(QJsonObject body) const;

    TimerService &timers;
    std::function<void()> changed;
    std::int64_t revision = 1;
    std::int64_t nextLease = 1;
    std::map<QByteArray, QJsonObject> items;
    std::vector<QJsonObject> history; ///< in the order of revisions
    std::map<std::int64_t, Lease> leases;
};

} // namespace lacewingmux::standin

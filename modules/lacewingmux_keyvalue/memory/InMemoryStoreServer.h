#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_keyvalue/memory/KeyValueTable.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    The one store behind several InMemoryPlatformStore objects of a test, with its faults.

    Hand it by std::shared_ptr to one InMemoryPlatformStore for each client. Everything runs on
    the timer service, so a test drives the store by ManualTimerService::advance.
*/
class InMemoryStoreServer
{
public:
    /** How long a client waits for a reply that does not come. */
    static constexpr std::chrono::milliseconds replyTimeout{2000};

    explicit InMemoryStoreServer(TimerService &timerService);
    InMemoryStoreServer(const InMemoryStoreServer &) = delete;
    InMemoryStoreServer &operator=(const InMemoryStoreServer &) = delete;

    /** Stops or restarts the service; what it holds stays. */
    void setDown(bool down);

    /** Cuts one client off, or connects it again. */
    void setCut(const QString &client, bool cut);

    /** Sets the time from a call to its reply; the call takes effect at half of it. */
    void setDelay(std::chrono::milliseconds roundTrip);

    /** Loses the replies of the next writes, which take effect all the same. */
    void loseWriteReplies(int count);

    /** Drops the history, so that watches that were cut have to read again. */
    void compact();

    /** Writes a key without any check, as another program would. */
    void put(const QByteArray &key, const QByteArray &value);

    /** Removes a key without any check. */
    void remove(const QByteArray &key);

    /** Returns what the store holds. */
    [[nodiscard]] const KeyValueTable &table() const noexcept
    {
        return this->keyValues;
    }

    /** Returns how many calls the client made, refused ones included. */
    [[nodiscard]] std::int64_t calls(const QString &client) const;

private:
    friend class InMemoryPlatformStore;

    /** How one call ended, as the client sees it. */
    enum class Delivery : std::uint8_t { Replied, NotReached, ReplyLost };
    using Step = std::function<void(KeyValueTable &)>;
    using Completion = std::function<void(Delivery)>;
    struct WatchState;

    /** Runs the step in the store, if it is reached, and then the completion at the client. */
    void call(const QString &client, bool isWrite, Step step, Completion completion);
    void finishCall(const QString &client, bool isWrite, const Step &step, Completion completion);
    void addWatch(const std::shared_ptr<WatchState> &watch);
    void scheduleWatches();
    void deliverWatches();
    void deliver(WatchState &watch);
    [[nodiscard]] bool reaches(const QString &client) const;
    void later(std::chrono::milliseconds delay, std::function<void()> action);

    TimerService &timers;
    KeyValueTable keyValues;
    bool isDown = false;
    std::set<QString> cutClients;
    std::chrono::milliseconds roundTripDelay{2};
    int repliesToLose = 0;
    std::map<QString, std::int64_t> callsByClient;
    std::vector<std::weak_ptr<WatchState>> watches;
    std::map<std::uint64_t, TimerSubscription> pending;
    std::uint64_t nextPending = 0;
    TimerSubscription leaseTimer;
};

/** One watch of one client, and how far it has got. */
struct InMemoryStoreServer::WatchState
{
    QString client;
    KeyRange keys;
    std::int64_t seenRevision = 0;
    std::function<void(const StoreRecord &)> callback;
};

} // namespace lacewingmux

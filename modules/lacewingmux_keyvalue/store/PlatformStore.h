#pragma once

#include "lacewingmux_keyvalue/store/CompareAndSwapResult.h"
#include "lacewingmux_keyvalue/store/ProbePace.h"
#include "lacewingmux_keyvalue/store/StoreRecord.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lacewingmux {

/**
    The platform's small key-value service. No request of a caller waits for it.

    Every method returns at once and calls back on the thread of the store object. A read that
    fails calls back with nothing. Each call counts against the daemon's budget, a waiting watch
    as one call.
*/
class PlatformStore
{
public:
    using ReadCallback = std::function<void(std::optional<std::vector<StoreRecord>>)>;
    using CompareAndSwapCallback = std::function<void(const CompareAndSwapResult &)>;
    using WatchCallback = std::function<void(const StoreRecord &)>;

    /** Ends its watch when destroyed. */
    class Watch
    {
    public:
        Watch() = default;
        virtual ~Watch() = default;
        Watch(const Watch &) = delete;
        Watch &operator=(const Watch &) = delete;

        /** Adds keys that the owner already knows, so that their deletion is reported. */
        virtual void addKnownKeys(const std::vector<QByteArray> &)
        { }

        /** Returns the store revision up to which every change was reported; 0 while the watch has
            not read the prefix yet, or if that is not known. */
        [[nodiscard]] virtual std::int64_t revision() const
        {
            return 0;
        }
    };

    PlatformStore() = default;
    virtual ~PlatformStore() = default;
    PlatformStore(const PlatformStore &) = delete;
    PlatformStore &operator=(const PlatformStore &) = delete;

    /** Reads all keys with the prefix; an exact key is a prefix too. */
    virtual void readPrefix(const QByteArray &prefix, ReadCallback callback) = 0;

    /** Reads one key; the list is empty when it is absent. */
    virtual void read(const QByteArray &key, ReadCallback callback) = 0;

    /** Reads as readPrefix() does, but may leave the values empty: for asking what has changed. */
    virtual void readRevisions(const QByteArray &prefix, ReadCallback callback)
    {
        this->readPrefix(prefix, std::move(callback));
    }

    /**
        Writes the value if the key's modRevision is still the expected one; 0 means absent.
        A leaseId other than 0 binds the key to that lease.
    */
    virtual void compareAndSwap(const QByteArray &key, std::int64_t expectedModRevision,
                                const QByteArray &value, CompareAndSwapCallback callback,
                                std::int64_t leaseId = 0) = 0;

    /** Grants a lease; calls back with its id, or nothing. */
    virtual void grantLease(std::chrono::seconds timeToLive,
                            std::function<void(std::optional<std::int64_t>)> callback) = 0;

    /** Renews a lease; calls back with false when it has lapsed or the store did not answer. */
    virtual void keepAlive(std::int64_t leaseId, std::function<void(bool)> callback) = 0;

    /** Returns when the store last answered a watch, or nothing if that is not known. */
    [[nodiscard]] virtual std::optional<std::chrono::steady_clock::time_point> lastContact() const
    {
        return std::nullopt;
    }

    /** Treats the store as unreachable until it answers a watch again. */
    virtual void assumeUnreachable()
    { }

    /** Sets how often watches probe the store while it is unreachable. */
    virtual void setProbePace(ProbePace)
    { }

    /**
        Reports every change below the prefix after the given revision, reconnecting by itself.
        A deleted key is reported with an empty value and createRevision 0.
    */
    [[nodiscard]] virtual std::unique_ptr<Watch>
    watchPrefix(const QByteArray &prefix, std::int64_t afterRevision, WatchCallback callback) = 0;

    /** Reports the value of one key, now and after each write; its deletion is not reported. */
    [[nodiscard]] std::unique_ptr<Watch>
    watchValue(const QByteArray &key, std::function<void(const QByteArray &)> callback);
};

} // namespace lacewingmux

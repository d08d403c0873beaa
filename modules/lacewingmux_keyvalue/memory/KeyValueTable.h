#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_keyvalue/memory/KeyValueEvent.h"
#include "lacewingmux_keyvalue/memory/KeyValueWrite.h"
#include "lacewingmux_keyvalue/store/KeyRange.h"
#include "lacewingmux_keyvalue/store/StoreRecord.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    The state of a key-value service with revisions, leases and a history of changes, without any
    transport. The stand-in of the platform's store and the in-memory store of the tests share it.

    Time is passed in; nothing happens by itself.
*/
class KeyValueTable
{
public:
    using Time = TimerService::SteadyTime;

    /** How many changes are kept for watches; older ones are dropped as by compact(). */
    static constexpr std::size_t historyLimit = 10'000;

    /** Returns the revision of the last write. */
    [[nodiscard]] std::int64_t revision() const noexcept
    {
        return this->currentRevision;
    }

    /** Returns the revision up to which the history was dropped. */
    [[nodiscard]] std::int64_t compactedRevision() const noexcept
    {
        return this->droppedRevision;
    }

    /** Returns the records in the range, in the order of their keys. */
    [[nodiscard]] std::vector<StoreRecord> range(const KeyRange &keys) const;

    /** Returns one record, or nothing when the key is absent. */
    [[nodiscard]] std::optional<StoreRecord> find(const QByteArray &key) const;

    /** Applies all steps under one new revision; returns how many keys were removed. */
    std::int64_t write(const std::vector<KeyValueWrite> &steps);

    /** Returns the changes in the range after the revision, oldest first. */
    [[nodiscard]] std::vector<KeyValueEvent> eventsAfter(std::int64_t afterRevision,
                                                         const KeyRange &keys) const;

    /** Drops the history up to and including the revision. */
    void compact(std::int64_t upToRevision);

    /** Grants a lease and returns its id. */
    std::int64_t grantLease(std::chrono::seconds timeToLive, Time now);

    /** Renews a lease; returns its time to live, or nothing when it has lapsed. */
    std::optional<std::chrono::seconds> keepAlive(std::int64_t leaseId, Time now);

    /** Tells whether the lease is held. */
    [[nodiscard]] bool hasLease(std::int64_t leaseId) const;

    /** Ends a lease and removes its keys; returns false when there is no such lease. */
    bool revokeLease(std::int64_t leaseId);

    /** Ends all leases that have lapsed and removes their keys. */
    void expireLeases(Time now);

private:
    struct Lease
    {
        std::chrono::seconds timeToLive;
        Time expiry;
    };

    void put(const KeyValueWrite &step);
    std::int64_t remove(const KeyRange &keys);
    void removeKeysOfLease(std::int64_t leaseId);
    void limitHistory();

    std::map<QByteArray, StoreRecord> records;
    std::deque<KeyValueEvent> history;
    std::map<std::int64_t, Lease> leases;
    std::int64_t currentRevision = 1;
    std::int64_t droppedRevision = 0;
    std::int64_t nextLeaseId = 1000;
};

} // namespace lacewingmux

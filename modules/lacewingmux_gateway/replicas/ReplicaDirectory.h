#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/replicas/ReplicaInstance.h"

#include <QByteArray>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    The replicas registered in the platform's store.

    Entries expire during a store outage although their replicas are alive. Replicas register again
    within about two seconds of the store's recovery, so missing entries are kept for that time
    before they are removed.
*/
class ReplicaDirectory
{
public:
    using ChangeHook = std::function<void(const std::vector<ReplicaInstance> &)>;

    /** The hook receives all replicas after each change. */
    ReplicaDirectory(TimerService &timerService, ChangeHook changeHook);

    /** Updates an entry; nullopt if it does not describe a usable replica. */
    void update(const QByteArray &id, const std::optional<ReplicaInstance> &instance);

    /** Records that the entry is missing from the store. */
    void remove(const QByteArray &id);

    /** Sets whether the store is reachable. */
    void setStoreReachable(bool reachable);

    [[nodiscard]] std::vector<ReplicaInstance> instances() const;

private:
    void schedulePublish();
    void removeMissing();
    [[nodiscard]] bool isStoreSettled() const;
    [[nodiscard]] std::chrono::milliseconds timeSince(TimerService::SteadyTime time) const;

    TimerService &timers;
    ChangeHook changed;
    std::map<QByteArray, ReplicaInstance> known;
    /** When the entries of known replicas were found to be missing; not yet removed. */
    std::map<QByteArray, TimerService::SteadyTime> missing;
    bool storeReachable = true;
    TimerService::SteadyTime storeRecoveredAt;
    bool storeWasLost = false;
    bool publishPosted = false;
    TimerSubscription removalTimer;
};

} // namespace lacewingmux

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
    within about two seconds of the store's recovery, so replicas without an entry are kept until
    the store has been reachable for that long. The time does not count from when this VM reached
    it: a VM that was cut off must drop at once what left meanwhile.
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

    /** Records that neither this VM nor a relay of it is known to reach the store. */
    void setStoreUnreachable();

    /** Records that the store has been reachable without interruption since a time, for this VM or
        for a relay of it. */
    void setStoreReachable(TimerService::SteadyTime since);

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
    /** When every live replica has registered again; nothing while the store is unreachable. */
    std::optional<TimerService::SteadyTime> settledAt;
    bool publishPosted = false;
    TimerSubscription removalTimer;
};

} // namespace lacewingmux

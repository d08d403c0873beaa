#pragma once

#include "lacewingmux_core/protection/Quarantine.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

/**
    Distinguishes replicas that crash while running a request from mere connection failures.

    A closed connection without a response counts as a crash only if the replica becomes unreachable
    shortly afterwards. A request is quarantined after crashes of three replicas, one after the
    other: replicas that fail together have a common cause, and a request that crashes replicas was
    sent to each of them after the crash of the one before. Another request that ran during one of
    these crashes is not quarantined, because it is retried on a healthy replica; one that a replica
    has answered is no longer suspected. Reads no clock: the current time is a parameter.
*/
class CrashCorrelator
{
public:
    using SteadyTime = TimerService::SteadyTime;
    using CrashHook = std::function<void(const CrashCoincidence &)>;

    /** The hook receives each crash detected on this VM, so that other VMs can be notified. */
    explicit CrashCorrelator(CrashHook crashHook);

    /** A request whose connection to a replica was closed before its response was complete. */
    struct BrokenRequest
    {
        QByteArray contentDigest;
        std::int64_t startMilliseconds = 0; ///< start time of the replica, Unix time
        SteadyTime sentAt;
        SteadyTime brokenAt;
    };

    /** Records that a replica closed the connection without a response to the request. */
    void recordBrokenConnection(const QByteArray &instance, const BrokenRequest &request);

    /** Records that a replica has answered the request. */
    void recordCompleted(const QByteArray &contentDigest);

    /** Records that a replica is unreachable. */
    void recordUnreachable(const QByteArray &instance, SteadyTime now);

    /** Adds a crash coincidence that another VM observed. */
    void addRemoteCoincidence(const CrashCoincidence &coincidence, SteadyTime now);

    /** Tells whether any request is suspected or quarantined. */
    [[nodiscard]] bool hasSuspects() const noexcept;

    /** Tells whether the request is quarantined, so that it must not be sent to a replica. */
    [[nodiscard]] bool isQuarantined(const QByteArray &contentDigest, SteadyTime now) const;

private:
    /** Counts a crash, unless it is known or the run began before the last crash counted. Returns
        whether it was counted. */
    bool count(const CrashCoincidence &coincidence, SteadyTime now);
    void removeExpired(SteadyTime now);

    CrashHook crashFound;
    Quarantine quarantine;
    std::unordered_map<QByteArray, std::vector<BrokenRequest>> brokenRequests; ///< by instance
    std::unordered_map<QByteArray, SteadyTime> lastCrashes; ///< of those counted, by digest
};

} // namespace lacewingmux

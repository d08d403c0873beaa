#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace lacewingmux {

/**
    The request rates that replicas take from all VMs together, as named in their responses, and
    until when replicas with such a limit take no further request.

    A limit applies to one start of a replica, from the first response that names it to the first
    one that names none. It is kept while the platform's store does not list the replica: entries
    expire during an outage of the store and return. Reads no clock: the current time is a
    parameter.
*/
class ReplicaLimits
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Records the limit in requests per second that a response of the replica with this id and
        start time (Unix time in milliseconds) names, if any; returns whether it has changed. */
    bool record(const QByteArray &id, std::int64_t startMilliseconds,
                std::optional<double> requestsPerSecond, SteadyTime now);

    /** Returns the limit in requests per second, or nothing. */
    [[nodiscard]] std::optional<double> limit(const QByteArray &id,
                                              std::int64_t startMilliseconds) const;

    /** Records that the replica, which has named a limit or is cold, takes no further request until
        a time, unless an earlier time is known. */
    void recordReached(const QByteArray &id, std::int64_t startMilliseconds, SteadyTime now,
                       SteadyTime until);

    /** Returns whether the limit is known to leave no room for a request now. */
    [[nodiscard]] bool isReached(const QByteArray &id, std::int64_t startMilliseconds,
                                 SteadyTime now) const;

private:
    struct Limit
    {
        std::optional<double> requestsPerSecond; ///< nothing for a cold replica that named none
        SteadyTime lastUsed;
        SteadyTime reachedUntil;
    };

    /** Returns the entry of the replica, which is created if there is none. */
    Limit &entryOf(const QByteArray &id, std::int64_t startMilliseconds, SteadyTime now);

    std::map<std::pair<QByteArray, std::int64_t>, Limit> limits; ///< by id and start time
};

} // namespace lacewingmux

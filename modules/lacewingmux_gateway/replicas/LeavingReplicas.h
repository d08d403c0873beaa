#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace lacewingmux {

/**
    The replicas that have announced in a response that they are leaving.

    An announcement applies to one start of a replica. It is kept while the platform's store lists
    the replica as ready, or does not list it at all: entries expire during an outage of the store,
    and return while the replica is still leaving. Reads no clock: the current time is a parameter.
*/
class LeavingReplicas
{
public:
    using SteadyTime = TimerService::SteadyTime;

    /** Records that the replica with this id and start time (Unix time in milliseconds) announced
        that it is leaving; returns whether this is its first announcement. */
    bool record(const QByteArray &id, std::int64_t startMilliseconds, SteadyTime now);

    /** Returns when the replica first announced that it is leaving, or nothing. */
    [[nodiscard]] std::optional<SteadyTime> leavingSince(const QByteArray &id,
                                                         std::int64_t startMilliseconds) const;

private:
    std::map<std::pair<QByteArray, std::int64_t>, SteadyTime> announcements;
};

} // namespace lacewingmux

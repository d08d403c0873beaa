#pragma once

#include <QByteArray>

#include <chrono>
#include <optional>

namespace lacewingmux {

/** What the system adds when it sends a caller's request to a replica. */
struct ReplicaRequestInfo
{
    QByteArray instance; ///< the replica that is meant; any other one must refuse
    QByteArray team;     ///< empty on routes open to all
    std::optional<std::chrono::milliseconds> timeLeft;
    QByteArray resumeAfter; ///< id of the last event that the caller has; empty at the start
};

} // namespace lacewingmux

#pragma once

#include <QByteArray>

#include <chrono>
#include <optional>

namespace lacewingmux {

/** The metadata that the gateway adds to a caller's request when it sends it to a replica. */
struct ReplicaRequestInfo
{
    QByteArray instance; ///< the intended replica; any other one must refuse the request
    QByteArray team;     ///< empty on public routes
    std::optional<std::chrono::milliseconds> timeLeft;
    std::optional<int> priority; ///< 0, served first, to 9; not sent if absent
    QByteArray resumeAfter;      ///< id of the last event that the caller received; may be empty
};

} // namespace lacewingmux

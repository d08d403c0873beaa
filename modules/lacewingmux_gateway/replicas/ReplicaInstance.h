#pragma once

#include <QByteArray>
#include <QHostAddress>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** One registered replica; each start of a replica is a separate instance. */
struct ReplicaInstance
{
    QByteArray id;
    std::int64_t startMilliseconds = 0; ///< start time, Unix time; differs when an id is reused
    QByteArray service;
    QByteArray zone;
    QHostAddress address;
    std::uint16_t port = 0;
    int slots = 1;                                ///< number of calls that it runs at the same time
    bool draining = false;                        ///< gets no new calls
    std::chrono::milliseconds warmUpRemaining{0}; ///< warm-up time left, as last reported
    bool statesWarmUp = false; ///< the entry states the warm-up time left; if not, it is unknown

    friend bool operator==(const ReplicaInstance &, const ReplicaInstance &) = default;
};

} // namespace lacewingmux

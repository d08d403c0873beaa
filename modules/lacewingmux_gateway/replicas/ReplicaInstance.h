#pragma once

#include <QByteArray>
#include <QHostAddress>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** One replica as it registered itself; each of its starts is an instance of its own. */
struct ReplicaInstance
{
    QByteArray id;
    std::int64_t startMilliseconds = 0; ///< when it started, Unix time; a reused id has another one
    QByteArray service;
    QByteArray zone;
    QHostAddress address;
    std::uint16_t port = 0;
    int slots = 1;
    bool draining = false;
    std::chrono::milliseconds warmUpRemaining{
            0}; ///< how much longer it stays slow, as it last told

    friend bool operator==(const ReplicaInstance &, const ReplicaInstance &) = default;
};

} // namespace lacewingmux

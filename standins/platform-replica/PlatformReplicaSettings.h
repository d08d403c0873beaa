#pragma once

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>

namespace lacewingmux::standin {

/** How a stand-in replica listens and what it calls itself. */
struct PlatformReplicaSettings
{
    QByteArray id;
    QString logFile;
    int backlog = 128;         ///< new connections that the system keeps until they are accepted
    int connectionLimit = 360; ///< further connections are reset
    int slotCount = 64;
    std::chrono::milliseconds idleTimeout{10000};
    bool closesAtDeadline = false; ///< in order; otherwise a run at its deadline is reset
    QString stutterFile;           ///< answers are spoilt while it exists
    int stutterPercent = 0;        ///< of the answers
    std::uint32_t stutterSeed = 1;
};

} // namespace lacewingmux::standin

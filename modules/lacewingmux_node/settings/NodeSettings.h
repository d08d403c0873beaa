#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <QString>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** What a node has to know of its VM and of its deployment. */
struct NodeSettings
{
    QString vm;
    QByteArray zone;
    QHostAddress address;
    std::uint16_t ingressPort = 0;   ///< for callers, on an entry VM
    std::uint16_t readinessPort = 0; ///< for the balancer, on an entry VM
    std::uint16_t peerPort = 0;      ///< for other nodes
    std::uint16_t metricsPort = 0;   ///< 0 for none
    QString dataFolder;              ///< on a records VM
    bool firstStart = false;         ///< the whole system starts with empty disks
    int toleratedDisks = 1;          ///< disks that may be lost at once with nothing lost
    int descriptorLimit = 1024;
    int memoryMegabytes = 128;
    QByteArray sharedSecret;                   ///< by which nodes of one deployment know each other
    std::chrono::milliseconds stopLimit{8000}; ///< from SIGTERM to SIGKILL
};

} // namespace lacewingmux

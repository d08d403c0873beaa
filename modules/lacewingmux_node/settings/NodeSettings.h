#pragma once

#include "lacewingmux_core/settings/FeatureSet.h"

#include <QByteArray>
#include <QHostAddress>
#include <QString>

#include <chrono>
#include <cstdint>

namespace lacewingmux {

/** The settings of a node: its VM, its ports, its limits and its deployment. */
struct NodeSettings
{
    QString vm;
    QByteArray zone;
    QHostAddress address;
    std::uint16_t ingressPort = 0;   ///< for callers; entry VMs only
    std::uint16_t readinessPort = 0; ///< for the load balancer; entry VMs only
    std::uint16_t peerPort = 0;      ///< for other nodes
    std::uint16_t tunnelPort = 0;    ///< for tunnels of other nodes, on all VMs; 0 disables tunnels
    std::uint16_t metricsPort = 0;   ///< 0 disables the metrics server
    QString dataFolder;              ///< records VMs only
    bool firstStart = false; ///< the whole system starts for the first time, with empty disks
    int toleratedDisks = 1;  ///< disks that may fail at once without data loss
    int descriptorLimit = 1024;
    int memoryMegabytes = 128;
    QByteArray sharedSecret; ///< authenticates the nodes of a deployment to each other
    std::chrono::milliseconds stopLimit{8000}; ///< time from SIGTERM to SIGKILL
    FeatureSet features;                       ///< that are switched on
    /** How long after the start of its drain a replica may still get calls. */
    std::chrono::milliseconds drainLimit{2000};
};

} // namespace lacewingmux

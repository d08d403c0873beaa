#pragma once

#include "lacewingmux_gateway/replicas/PlacementSettings.h"

#include <QByteArray>
#include <QHostAddress>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lacewingmux {

/** How a Gateway listens and stops. */
struct GatewaySettings
{
    QHostAddress address;
    std::uint16_t port = 0; ///< 0 selects a free port
    QByteArray zone;
    PlacementSettings placement;
    QByteArray tunnelSecret; ///< proves to other VMs of the deployment that they may open tunnels
    std::size_t connectionLimit = 2000; ///< half of the descriptors; the others are for replicas

    /** Bytes that the unfinished responses of all calls may take together. */
    qsizetype bufferedResponseLimit = qsizetype{12} * 1024 * 1024;

    /** Bytes that the requests of all callers, and the responses that they have not read yet, may
        take together. */
    qsizetype callerMemoryLimit = qsizetype{12} * 1024 * 1024;

    /** Bytes of the history and the new input of the longest conversation that is accepted. */
    qsizetype maximumConversationBytes = qsizetype{64} * 1024 * 1024;

    /** How long a stopping VM still accepts connections and keeps them open: the load balancer
        checks once a second, and needs two results to direct new connections to other VMs. */
    std::chrono::milliseconds stopListeningAfter{2300};
    /** Time until the load balancer directs new connections to other VMs after a VM became not
        ready: two checks, a second apart. */
    std::chrono::milliseconds balancerFailoverTime{2200};
    /** Time after which a planned stop no longer waits for the remaining calls. */
    std::chrono::milliseconds stopLimit{7000};
};

} // namespace lacewingmux

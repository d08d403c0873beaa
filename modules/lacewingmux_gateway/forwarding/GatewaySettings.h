#pragma once

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
    std::uint16_t port = 0; ///< 0 lets the system choose
    QByteArray zone;
    std::size_t connectionLimit = 2000; ///< half of the descriptors; the others go to replicas

    /** How long a stopping VM still takes requests on open connections: the balancer asks once a
        second, and needs two answers to send new connections elsewhere. */
    std::chrono::milliseconds stopNotice{2300};
    /** When the balancer has sent new connections elsewhere, after a VM was found not to be
        ready: two questions, a second apart. */
    std::chrono::milliseconds detourNotice{2200};
    /** Until when a stopping VM takes requests: what it takes later might not end in time. */
    std::chrono::milliseconds stopTaking{3600};
    /** When a planned stop ends whatever is still under way. */
    std::chrono::milliseconds stopLimit{7000};
};

} // namespace lacewingmux

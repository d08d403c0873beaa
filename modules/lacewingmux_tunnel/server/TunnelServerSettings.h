#pragma once

#include "lacewingmux_tunnel/messages/TunnelTimes.h"

#include <QByteArray>
#include <QHostAddress>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lacewingmux {

/** How a TunnelServer listens, and what it allows. */
struct TunnelServerSettings
{
    QHostAddress address;
    std::uint16_t port = 0; ///< 0 selects a free port
    QByteArray secret;      ///< of the deployment; requests must prove that they know it
    std::size_t tunnelLimit = 512;
    qint64 bufferBytes = qint64{16} * 1024; ///< of each direction of a tunnel
    /** Maximum time to connect to a target; requesters of any build wait for the reply to it. */
    std::chrono::milliseconds connectTimeout = tunnelConnectTimeout;
    /** Time after which a planned stop no longer waits for open tunnels. */
    std::chrono::milliseconds stopLimit{7000};
};

} // namespace lacewingmux

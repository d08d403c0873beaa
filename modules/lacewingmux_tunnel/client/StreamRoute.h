#pragma once

#include "lacewingmux_tunnel/client/TunnelUse.h"

#include <QByteArray>
#include <QHostAddress>

#include <cstdint>
#include <memory>

namespace lacewingmux {

/** How to connect to a replica. */
struct StreamRoute
{
    QHostAddress address;
    std::uint16_t port = 0;
    std::shared_ptr<const TunnelUse> tunnel; ///< null for a direct connection
    QByteArray tunnelSecret;                 ///< of the deployment
};

} // namespace lacewingmux

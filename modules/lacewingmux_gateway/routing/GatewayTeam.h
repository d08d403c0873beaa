#pragma once

#include <QByteArray>

#include <optional>

namespace lacewingmux {

/** One team and what it may send over all VMs together. */
struct GatewayTeam
{
    QByteArray name;
    std::optional<int> priority;  ///< goes before the route's; 0 is first
    double requestsPerSecond = 0; ///< 0 means no limit
    double burst = 0;             ///< requests
};

} // namespace lacewingmux

#pragma once

#include <QByteArray>

#include <optional>

namespace lacewingmux {

/** One team and its rate limit over all VMs together. */
struct GatewayTeam
{
    QByteArray name;
    std::optional<int> priority;  ///< overrides the route's; 0 is the most urgent
    double requestsPerSecond = 0; ///< 0 means no limit
    double burst = 0;             ///< requests
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/routing/GatewayRoute.h"
#include "lacewingmux_gateway/routing/GatewayService.h"
#include "lacewingmux_gateway/routing/GatewayTeam.h"

#include <QByteArray>
#include <QHash>

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewingmux {

class RoutingTable;

/** One version of the configuration, for a test that brings several into force. */
struct GatewayConfiguration
{
    /** Creates a version with the routes "/safe/", "/once/", "/stream/" and "/resume/" of the
        fixture, its service and its team. */
    GatewayConfiguration();

    /** Returns the version as the gateway uses it. */
    [[nodiscard]] std::shared_ptr<const RoutingTable> table() const;

    std::uint64_t version = 1;
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    std::vector<GatewayTeam> teams;
    QHash<QByteArray, QByteArray> keys; ///< and the team that holds each
    HttpLimits limits;
};

} // namespace lacewingmux

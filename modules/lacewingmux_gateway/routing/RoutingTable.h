#pragma once

#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/routing/GatewayRoute.h"
#include "lacewingmux_gateway/routing/GatewayService.h"
#include "lacewingmux_gateway/routing/GatewayTeam.h"

#include <QByteArray>
#include <QHash>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/**
    One version of the operators' configuration as the gateway uses it; immutable. Shared between
    threads as std::shared_ptr<const RoutingTable>.
*/
class RoutingTable
{
public:
    RoutingTable(std::uint64_t tableVersion, std::vector<GatewayRoute> tableRoutes,
                 const std::vector<GatewayService> &tableServices,
                 std::vector<GatewayTeam> tableTeams,
                 const QHash<QByteArray, QByteArray> &tableKeys, bool withTeams,
                 const HttpLimits &httpLimits);

    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return this->versionNumber;
    }

    /** Returns the route of the host with the longest matching path prefix, or null. */
    [[nodiscard]] const GatewayRoute *route(const QByteArray &host, const QByteArray &path) const;

    /** Returns the service with the name, or null. */
    [[nodiscard]] const GatewayService *service(const QByteArray &name) const;

    /** Returns all services, by name. */
    [[nodiscard]] const QHash<QByteArray, GatewayService> &allServices() const noexcept
    {
        return this->services;
    }

    /** Returns the team that the key belongs to, or null. */
    [[nodiscard]] const GatewayTeam *teamOfKey(const QByteArray &key) const;

    /** Tells whether teams are configured, so that requests require a key. */
    [[nodiscard]] bool hasTeams() const noexcept
    {
        return this->teamsConfigured;
    }

    [[nodiscard]] const std::vector<GatewayTeam> &teams() const noexcept
    {
        return this->teamList;
    }

    [[nodiscard]] const HttpLimits &limits() const noexcept
    {
        return this->httpLimits;
    }

private:
    std::uint64_t versionNumber;
    std::vector<GatewayRoute> routes;
    QHash<QByteArray, std::vector<std::size_t>> routesByHost; ///< longest prefix first
    QHash<QByteArray, GatewayService> services;
    std::vector<GatewayTeam> teamList;
    QHash<QByteArray, std::size_t> teamsByKey;
    bool teamsConfigured;
    HttpLimits httpLimits;
};

} // namespace lacewingmux

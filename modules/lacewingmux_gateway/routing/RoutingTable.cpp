#include "lacewingmux_gateway/routing/RoutingTable.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

RoutingTable::RoutingTable(std::uint64_t tableVersion, std::vector<GatewayRoute> tableRoutes,
                           const std::vector<GatewayService> &tableServices,
                           std::vector<GatewayTeam> tableTeams,
                           const QHash<QByteArray, QByteArray> &tableKeys, bool withTeams,
                           const HttpLimits &limitsOfCallers)
    : versionNumber(tableVersion)
    , routes(std::move(tableRoutes))
    , teamList(std::move(tableTeams))
    , teamsConfigured(withTeams)
    , httpLimits(limitsOfCallers)
{
    for (std::size_t index = 0; index < this->routes.size(); ++index)
        this->routesByHost[this->routes[index].host].push_back(index);
    for (std::vector<std::size_t> &indexes : this->routesByHost)
        std::stable_sort(indexes.begin(), indexes.end(), [this](auto left, auto right) {
            return this->routes[left].prefix.size() > this->routes[right].prefix.size();
        });
    for (const GatewayService &service : tableServices)
        this->services.insert(service.name, service);

    QHash<QByteArray, std::size_t> teamsByName;
    for (std::size_t index = 0; index < this->teamList.size(); ++index)
        teamsByName.insert(this->teamList[index].name, index);
    for (auto key = tableKeys.cbegin(); key != tableKeys.cend(); ++key) {
        const auto team = teamsByName.constFind(key.value());
        if (team != teamsByName.cend())
            this->teamsByKey.insert(key.key(), *team);
    }
}

const GatewayRoute *RoutingTable::route(const QByteArray &host, const QByteArray &path) const
{
    const auto candidates = this->routesByHost.constFind(host);
    if (candidates == this->routesByHost.cend())
        return nullptr;
    const auto found =
            std::find_if(candidates->begin(), candidates->end(), [this, &path](std::size_t index) {
                return path.startsWith(this->routes[index].prefix);
            });
    return found == candidates->end() ? nullptr : &this->routes[*found];
}

const GatewayService *RoutingTable::service(const QByteArray &name) const
{
    const auto found = this->services.constFind(name);
    return found == this->services.cend() ? nullptr : &*found;
}

const GatewayTeam *RoutingTable::teamOfKey(const QByteArray &key) const
{
    const auto found = this->teamsByKey.constFind(key);
    return found == this->teamsByKey.cend() ? nullptr : &this->teamList[*found];
}

} // namespace lacewingmux

#include "support/GatewayConfiguration.h"

#include "lacewingmux_gateway/routing/RoutingTable.h"

namespace lacewingmux {

namespace {

GatewayRoute makeRoute(const char *prefix, RouteKind kind, bool resumable)
{
    GatewayRoute route;
    route.name = prefix;
    route.host = "shop.example";
    route.prefix = prefix;
    route.kind = kind;
    route.targets = {{"service", 1}};
    route.timeout = std::chrono::milliseconds(1500);
    route.attempts = 2;
    route.resumable = resumable;
    return route;
}

} // namespace

GatewayConfiguration::GatewayConfiguration()
    : routes{makeRoute("/safe/", RouteKind::Idempotent, false),
             makeRoute("/once/", RouteKind::SingleRun, false),
             makeRoute("/stream/", RouteKind::Stream, false),
             makeRoute("/resume/", RouteKind::Stream, true)}
    , services(1)
    , teams(1)
    , keys{{"good", "team"}}
{
    this->services.front().name = "service";
    this->teams.front().name = "team";
    this->teams.front().requestsPerSecond = 10;
    this->teams.front().burst = 10;
}

std::shared_ptr<const RoutingTable> GatewayConfiguration::table() const
{
    return std::make_shared<RoutingTable>(this->version, this->routes, this->services, this->teams,
                                          this->keys, true, this->limits);
}

} // namespace lacewingmux

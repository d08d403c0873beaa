#include "lacewingmux_backend/clients/ConnectionPool.h"

#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/SharedReading.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr int defaultHttpPort = 80;
// Servers that send no Keep-Alive timeout may close idle connections in less than 1 s.
constexpr std::chrono::milliseconds idleTime{500};

} // namespace

ConnectionPool::ConnectionPool(TimerService &timerService)
    : timers(timerService)
    , reading(std::make_shared<SharedReading>(timerService))
{ }

ConnectionPool::~ConnectionPool() = default;

std::unique_ptr<ReplicaConnection> ConnectionPool::acquire(const QUrl &server)
{
    auto &connections = this->idle[server.authority()];
    while (!connections.empty()) {
        std::unique_ptr<ReplicaConnection> connection = std::move(connections.back());
        connections.pop_back();
        // What has arrived since the last response belongs to an earlier request.
        if (connection->isReusable() && !connection->hasUnreadInput())
            return connection;
    }
    return this->createDedicated(server);
}

std::unique_ptr<ReplicaConnection> ConnectionPool::createDedicated(const QUrl &server)
{
    StreamRoute route;
    route.address = QHostAddress(server.host());
    route.port = static_cast<std::uint16_t>(server.port(defaultHttpPort));
    return std::make_unique<ReplicaConnection>(route, this->timers, this->reading);
}

void ConnectionPool::release(const QUrl &server, std::unique_ptr<ReplicaConnection> connection)
{
    connection->setReusableUntil(this->timers.now() + idleTime);
    auto &connections = this->idle[server.authority()];
    std::erase_if(connections, [](const auto &kept) { return !kept->isReusable(); });
    if (connection->isReusable())
        connections.push_back(std::move(connection));
}

} // namespace lacewingmux

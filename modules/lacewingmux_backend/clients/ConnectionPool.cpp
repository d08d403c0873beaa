#include "lacewingmux_backend/clients/ConnectionPool.h"

#include <QHash>
#include <QNetworkAccessManager>
#include <QNetworkProxy>

#include <algorithm>
#include <vector>

namespace lacewingmux {

namespace {

constexpr int connectionsPerManager = 6; ///< limit of QNetworkAccessManager per server

struct PooledManager
{
    std::unique_ptr<QNetworkAccessManager> manager;
    QHash<QString, int> activeExchanges; ///< by server
};

std::unique_ptr<QNetworkAccessManager> makeManager()
{
    auto manager = std::make_unique<QNetworkAccessManager>();
    manager->setProxy(QNetworkProxy::NoProxy);
    manager->setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
    return manager;
}

} // namespace

struct ConnectionPool::State
{
    std::vector<std::shared_ptr<PooledManager>> managers;
};

ConnectionPool::ConnectionPool()
    : state(std::make_shared<State>())
{ }

ConnectionPool::~ConnectionPool() = default;

std::shared_ptr<QNetworkAccessManager> ConnectionPool::acquire(const QUrl &server)
{
    const QString key = server.authority();
    auto &managers = this->state->managers;
    auto found = std::find_if(managers.begin(), managers.end(), [&key](const auto &pooled) {
        return pooled->activeExchanges.value(key) < connectionsPerManager;
    });
    if (found == managers.end()) {
        managers.push_back(std::make_shared<PooledManager>(PooledManager{makeManager(), {}}));
        found = std::prev(managers.end());
    }
    const std::shared_ptr<PooledManager> pooled = *found;
    ++pooled->activeExchanges[key];
    return {pooled->manager.get(), [pooled, key](QNetworkAccessManager *) {
                if (--pooled->activeExchanges[key] == 0)
                    pooled->activeExchanges.remove(key);
            }};
}

std::shared_ptr<QNetworkAccessManager> ConnectionPool::createDedicated()
{
    return {makeManager().release(),
            [](QNetworkAccessManager *manager) { manager->deleteLater(); }};
}

} // namespace lacewingmux

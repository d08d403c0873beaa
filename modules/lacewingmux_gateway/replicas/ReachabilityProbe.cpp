#include "lacewingmux_gateway/replicas/ReachabilityProbe.h"

#include "lacewingmux_gateway/replicas/ReplicaConnection.h"

#include <QNetworkProxy>
#include <QTcpSocket>

#include <utility>

namespace lacewingmux {

ReachabilityProbe::ReachabilityProbe(const QHostAddress &address, std::uint16_t port,
                                     TimerService &timerService,
                                     std::function<void(bool)> resultHook)
    : socket(new QTcpSocket)
    , resultCallback(std::move(resultHook))
{
    this->socket->setProxy(QNetworkProxy::NoProxy);
    QObject::connect(this->socket, &QTcpSocket::connected, this->socket,
                     [this] { this->finish(true); });
    QObject::connect(this->socket, &QTcpSocket::errorOccurred, this->socket,
                     [this] { this->finish(false); });
    this->timeout = timerService.after(replicaConnectTimeout, [this] { this->finish(false); });
    this->socket->connectToHost(address, port);
}

ReachabilityProbe::~ReachabilityProbe()
{
    QObject::disconnect(this->socket, nullptr, nullptr, nullptr);
    this->socket->abort();
    this->socket->deleteLater();
}

void ReachabilityProbe::finish(bool reachable)
{
    if (const auto hook = std::exchange(this->resultCallback, nullptr))
        hook(reachable);
}

} // namespace lacewingmux

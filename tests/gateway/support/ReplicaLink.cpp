#include "support/ReplicaLink.h"

#include "lacewingmux_tunnel/sockets/ResetDetector.h"

namespace lacewingmux {

ReplicaLink::ReplicaLink(const QHostAddress &linkAddress, std::uint16_t replicaPort)
    : address(linkAddress)
    , port(replicaPort)
{
    QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] {
        while (QTcpSocket *socket = this->server.nextPendingConnection())
            this->accept(socket);
    });
    this->restore();
}

ReplicaLink::~ReplicaLink()
{
    this->reset();
}

void ReplicaLink::refuse()
{
    this->server.close();
}

void ReplicaLink::reset()
{
    this->refuse();
    const auto open = std::exchange(this->connections, {});
    for (const Pair &pair : open) {
        for (const QPointer<QTcpSocket> &socket : {pair.first, pair.second}) {
            if (!socket)
                continue;
            QObject::disconnect(socket, nullptr, nullptr, nullptr);
            resetConnection(*socket);
            socket->deleteLater();
        }
    }
}

void ReplicaLink::restore()
{
    if (!this->server.isListening())
        this->server.listen(this->address, this->port);
}

void ReplicaLink::accept(QTcpSocket *near)
{
    near->setParent(nullptr);
    const Pair pair{near, new QTcpSocket};
    this->connections.push_back(pair);
    const auto connect = [](const QPointer<QTcpSocket> &from, const QPointer<QTcpSocket> &to) {
        QObject::connect(from, &QTcpSocket::readyRead, from, [from, to] { pass(from, to); });
        QObject::connect(from, &QTcpSocket::disconnected, from, [from, to] {
            pass(from, to);
            if (to)
                to->disconnectFromHost();
            from->deleteLater();
        });
    };
    connect(pair.first, pair.second);
    connect(pair.second, pair.first);
    QObject::connect(pair.second, &QTcpSocket::connected, pair.second,
                     [pair] { pass(pair.first, pair.second); });
    pair.second->connectToHost(QHostAddress(QHostAddress::LocalHost), this->port);
}

void ReplicaLink::pass(const QPointer<QTcpSocket> &from, const QPointer<QTcpSocket> &to)
{
    if (from && to && to->state() == QAbstractSocket::ConnectedState)
        to->write(from->readAll());
}

} // namespace lacewingmux

#include "deployment/TcpRelay.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

namespace lacewingmux::standin {

TcpRelay::TcpRelay(std::uint16_t target)
    : targetPort(target)
{
    if (!this->server.listen(QHostAddress::LocalHost))
        throw LacewingmuxError(ErrorKind::InternalError, QStringLiteral("the relay can't listen: ")
                                                                 + this->server.errorString());
    QObject::connect(&this->server, &QTcpServer::newConnection, &this->server,
                     [this] { this->accept(); });
}

TcpRelay::~TcpRelay()
{
    this->reset();
}

std::uint16_t TcpRelay::port() const
{
    return this->server.serverPort();
}

void TcpRelay::setTargetPort(std::uint16_t newTargetPort)
{
    this->targetPort = newTargetPort;
}

void TcpRelay::cut()
{
    this->cutNow = true;
}

void TcpRelay::mend()
{
    this->cutNow = false;
    const std::vector<Pair> current = this->pairs;
    for (const Pair &pair : current) {
        if (!pair.near || !pair.far)
            continue;
        if (pair.far->state() == QAbstractSocket::UnconnectedState)
            pair.far->connectToHost(QHostAddress(QHostAddress::LocalHost), this->targetPort);
        this->pass(pair.near, pair.far);
        this->pass(pair.far, pair.near);
    }
}

void TcpRelay::reset()
{
    const std::vector<Pair> current = std::exchange(this->pairs, {});
    for (const Pair &pair : current) {
        for (QTcpSocket *socket : {pair.near.data(), pair.far.data()}) {
            if (socket == nullptr)
                continue;
            socket->disconnect();
            socket->abort();
            socket->deleteLater();
        }
    }
}

void TcpRelay::accept()
{
    while (QTcpSocket *near = this->server.nextPendingConnection()) {
        auto *far = new QTcpSocket(&this->server);
        std::erase_if(this->pairs, [](const Pair &pair) { return !pair.near || !pair.far; });
        this->pairs.push_back({near, far});
        this->connectPair(near, far);
        this->connectPair(far, near);
        if (!this->cutNow)
            far->connectToHost(QHostAddress(QHostAddress::LocalHost), this->targetPort);
    }
}

void TcpRelay::connectPair(QTcpSocket *from, QTcpSocket *to)
{
    QObject::connect(from, &QTcpSocket::readyRead, to, [this, from, to] { this->pass(from, to); });
    QObject::connect(from, &QTcpSocket::connected, to, [this, from, to] { this->pass(to, from); });
    QObject::connect(from, &QTcpSocket::disconnected, to, [this, from, to] {
        this->pass(from, to);
        if (!this->cutNow)
            to->disconnectFromHost();
        from->deleteLater();
        to->deleteLater();
    });
    QObject::connect(from, &QTcpSocket::errorOccurred, to, [this, from, to] {
        if (from->state() != QAbstractSocket::UnconnectedState || this->cutNow)
            return;
        to->disconnectFromHost();
        from->deleteLater();
    });
}

void TcpRelay::pass(QTcpSocket *from, QTcpSocket *to)
{
    if (this->cutNow || to->state() != QAbstractSocket::ConnectedState)
        return;
    to->write(from->readAll());
}

} // namespace lacewingmux::standin

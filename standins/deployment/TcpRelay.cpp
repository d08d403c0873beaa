#include "deployment/TcpRelay.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <utility>

namespace lacewingmux::standin {

TcpRelay::TcpRelay(const QHostAddress &targetHost, std::uint16_t port)
    : target(targetHost)
    , targetPort(port)
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

void TcpRelay::cut()
{
    this->cutSources([](const QHostAddress &) { return true; });
}

void TcpRelay::cutSources(std::function<bool(const QHostAddress &source)> newIsCutSource)
{
    this->isCutSource = std::move(newIsCutSource);
}

void TcpRelay::mend()
{
    this->isCutSource = nullptr;
    const std::vector<Pair> current = this->pairs;
    for (const Pair &pair : current) {
        if (!pair.near || !pair.far)
            continue;
        if (pair.near->state() == QAbstractSocket::UnconnectedState) {
            this->end(pair);
            continue;
        }
        if (pair.far->state() == QAbstractSocket::UnconnectedState)
            pair.far->connectToHost(this->target, this->targetPort);
        this->pass(pair);
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
        std::erase_if(this->pairs, [](const Pair &pair) { return !pair.near || !pair.far; });
        const Pair pair{near->peerAddress(), near, new QTcpSocket(&this->server)};
        this->pairs.push_back(pair);
        this->follow(pair);
        if (!this->isCut(pair))
            pair.far->connectToHost(this->target, this->targetPort);
    }
}

void TcpRelay::follow(const Pair &pair)
{
    for (QTcpSocket *socket : {pair.near.data(), pair.far.data()}) {
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, pair] { this->pass(pair); });
        QObject::connect(socket, &QTcpSocket::connected, socket,
                         [this, pair] { this->pass(pair); });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, [this, pair] {
            this->pass(pair);
            if (!this->isCut(pair))
                this->end(pair);
        });
        QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this, pair] {
            const bool refused = pair.far && pair.far->state() == QAbstractSocket::UnconnectedState;
            if (refused && !this->isCut(pair))
                this->end(pair);
        });
    }
}

void TcpRelay::end(const Pair &pair)
{
    for (QTcpSocket *socket : {pair.near.data(), pair.far.data()}) {
        if (socket == nullptr)
            continue;
        socket->disconnectFromHost();
        socket->deleteLater();
    }
}

void TcpRelay::pass(const Pair &pair)
{
    if (!pair.near || !pair.far || this->isCut(pair))
        return;
    this->passOn(pair.near, pair.far);
    this->passOn(pair.far, pair.near);
}

void TcpRelay::passOn(QTcpSocket *from, QTcpSocket *to)
{
    if (to->state() == QAbstractSocket::ConnectedState && from->bytesAvailable() > 0)
        to->write(from->readAll());
}

bool TcpRelay::isCut(const Pair &pair) const
{
    return this->isCutSource && this->isCutSource(pair.source);
}

} // namespace lacewingmux::standin

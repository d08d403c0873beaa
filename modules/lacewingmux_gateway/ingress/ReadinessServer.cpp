#include "lacewingmux_gateway/ingress/ReadinessServer.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/http/RequestDecoder.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <utility>

namespace lacewingmux {

namespace {

constexpr int readyStatus = 200;
constexpr int notReadyStatus = 503;
constexpr qint64 readBufferBytes = qint64{16} * 1024;
constexpr std::uint64_t maximumBodyBytes = 1024;         // a check has no body
constexpr qint64 maximumUnreadBytes = qint64{64} * 1024; // far above the answer to one check

} // namespace

ReadinessServer::ReadinessServer(const QHostAddress &address, std::uint16_t port,
                                 std::function<bool()> readyCheck)
    : isReady(std::move(readyCheck))
    , server(std::make_unique<QTcpServer>())
{
    QObject::connect(this->server.get(), &QTcpServer::newConnection, this->server.get(), [this] {
        while (QTcpSocket *socket = this->server->nextPendingConnection())
            this->accept(socket);
    });
    if (!this->server->listen(address, port))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("cannot listen for readiness on %1:%2: %3")
                                       .arg(address.toString())
                                       .arg(port)
                                       .arg(this->server->errorString()));
}

ReadinessServer::~ReadinessServer() = default;

std::uint16_t ReadinessServer::port() const
{
    return this->server->serverPort();
}

void ReadinessServer::accept(QTcpSocket *socket)
{
    QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    socket->setReadBufferSize(readBufferBytes);
    HttpLimits limits;
    limits.bodyBytes = maximumBodyBytes;
    auto decoder = std::make_shared<RequestDecoder>(limits);
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, decoder] {
        decoder->append(socket->readAll());
        while (decoder->state() == DecodeState::Complete) {
            const HttpRequest request = decoder->take();
            this->answer(socket);
            if (!request.keepAlive)
                socket->disconnectFromHost();
        }
        if (decoder->state() > DecodeState::Complete || socket->bytesToWrite() > maximumUnreadBytes)
            socket->abort();
    });
}

void ReadinessServer::answer(QTcpSocket *socket)
{
    const int status = this->isReady() ? readyStatus : notReadyStatus;
    socket->write(
            responseHeadText(status, reasonPhrase(status),
                             {{QByteArrayLiteral("Content-Length"), QByteArrayLiteral("0")}}));
}

} // namespace lacewingmux

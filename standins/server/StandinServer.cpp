#include "server/StandinServer.h"

#include <QHttpServerRequest>
#include <QMetaEnum>
#include <QTcpServer>

#include <utility>

namespace lacewingmux::standin {

namespace {

StandinRequest toStandinRequest(const QHttpServerRequest &request)
{
    StandinRequest result;
    const auto methods = QMetaEnum::fromType<QHttpServerRequest::Method>();
    result.method = QByteArray(methods.valueToKey(static_cast<int>(request.method()))).toUpper();
    result.path = request.url().path();
    result.query = request.query();
    for (const auto &field : request.headers())
        result.headers.emplace_back(field.first, field.second);
    result.body = request.body();
    return result;
}

} // namespace

StandinServer::StandinServer(Handler requestHandler)
    : handler(std::move(requestHandler))
{ }

StandinServer::~StandinServer()
{
    this->crash();
}

std::uint16_t StandinServer::start(std::uint16_t port)
{
    return this->listen(QHostAddress::LocalHost, port);
}

void StandinServer::crash()
{
    for (QTcpServer *server : this->servers())
        server->close();
    const auto open = std::exchange(this->sockets, {});
    for (const QPointer<QTcpSocket> &socket : open) {
        if (socket)
            socket->abort();
    }
}

bool StandinServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    std::erase_if(this->sockets, [socket](const auto &known) { return !known || known == socket; });
    this->sockets.emplace_back(socket);
    this->handler(toStandinRequest(request), std::make_shared<StandinExchange>(socket));
    return true;
}

void StandinServer::missingHandler(const QHttpServerRequest &, QTcpSocket *socket)
{
    StandinExchange(socket).answer(404, QJsonObject());
}

} // namespace lacewingmux::standin

#include "common/StandinHttpServer.h"

#include <QHostAddress>
#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QTcpSocket>

namespace lacewingmux {

StandinHttpServer::StandinHttpServer(Handler requestHandler)
    : handler(std::move(requestHandler))
    , listener(new QTcpServer(this))
{ }

std::uint16_t StandinHttpServer::start(std::uint16_t port)
{
    if (!this->listener->listen(QHostAddress::LocalHost, port))
        return 0;
    if (!this->isBound)
        this->bind(this->listener);
    this->isBound = true;
    return this->listener->serverPort();
}

void StandinHttpServer::stop()
{
    this->listener->close();
    const QList<QPointer<QTcpSocket>> open = std::exchange(this->sockets, {});
    for (const QPointer<QTcpSocket> &socket : open) {
        if (socket)
            socket->abort();
    }
}

void StandinHttpServer::writeJson(const QPointer<QTcpSocket> &socket, int status,
                                  const QJsonObject &body)
{
    if (!socket)
        return;
    const QByteArray text = QJsonDocument(body).toJson(QJsonDocument::Compact);
    socket->write("HTTP/1.1 " + QByteArray::number(status) + (status < 400 ? " OK" : " Error")
                  + "\r\nContent-Type: application/json\r\nContent-Length: "
                  + QByteArray::number(text.size()) + "\r\n\r\n" + text);
}

void StandinHttpServer::beginChunked(const QPointer<QTcpSocket> &socket,
                                     const QByteArray &contentType)
{
    if (!socket)
        return;
    socket->write("HTTP/1.1 200 OK\r\nContent-Type: " + contentType
                  + "\r\nTransfer-Encoding: chunked\r\n\r\n");
}

void StandinHttpServer::writeChunk(const QPointer<QTcpSocket> &socket, const QByteArray &chunk)
{
    if (!socket || chunk.isEmpty())
        return;
    socket->write(QByteArray::number(chunk.size(), 16) + "\r\n" + chunk + "\r\n");
}

bool StandinHttpServer::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    this->sockets.removeIf([](const QPointer<QTcpSocket> &known) { return known.isNull(); });
    if (!this->sockets.contains(socket))
        this->sockets.append(socket);
    this->handler(request, socket);
    return true;
}

void StandinHttpServer::missingHandler(const QHttpServerRequest &, QTcpSocket *socket)
{
    writeJson(socket, 404, {});
}

} // namespace lacewingmux

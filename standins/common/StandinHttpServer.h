#pragma once

#include <QAbstractHttpServer>
#include <QByteArray>
#include <QJsonObject>
#include <QList>
#include <QPointer>
#include <QTcpServer>

#include <cstdint>
#include <functional>
#include <memory>

namespace lacewingmux {

/**
    The HTTP listener of a stand-in on one loopback port. The handler gets each request with its
    socket and answers on the socket, at once or later.
*/
class StandinHttpServer final : public QAbstractHttpServer
{
public:
    using Handler = std::function<void(const QHttpServerRequest &, QTcpSocket *)>;

    explicit StandinHttpServer(Handler requestHandler);

    /** Starts to listen on 127.0.0.1; port 0 lets the system choose. Returns the port or 0. */
    std::uint16_t start(std::uint16_t port);

    /** Stops listening and aborts all connections, as a process does that dies. */
    void stop();

    /** Writes a whole answer with a JSON body. Does nothing when the caller has gone. */
    static void writeJson(const QPointer<QTcpSocket> &socket, int status, const QJsonObject &body);

    /** Writes the head of an answer that is sent in chunks. */
    static void beginChunked(const QPointer<QTcpSocket> &socket, const QByteArray &contentType);

    /** Writes one chunk. */
    static void writeChunk(const QPointer<QTcpSocket> &socket, const QByteArray &chunk);

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    Handler handler;
    QTcpServer *listener; ///< a child of this object
    bool isBound = false; ///< whether the base class serves the listener already
    QList<QPointer<QTcpSocket>> sockets;
};

} // namespace lacewingmux

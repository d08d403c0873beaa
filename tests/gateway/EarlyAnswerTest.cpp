#include "support/GatewayFixture.h"

#include "lacewingmux_tunnel/sockets/ResetDetector.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <criterion/criterion.h>

#include <memory>
#include <utility>
#include <vector>

#include <sys/socket.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

/** A replica that answers each request once it has the head, and reads the rest only if told to. */
class EarlyReplica
{
public:
    EarlyReplica()
    {
        this->server.listen(QHostAddress::LocalHost);
        const int receiveBytes = 4096; // so that a large body can not be written at once
        ::setsockopt(static_cast<int>(this->server.socketDescriptor()), SOL_SOCKET, SO_RCVBUF,
                     &receiveBytes, sizeof receiveBytes);
        QObject::connect(&this->server, &QTcpServer::newConnection, &this->server,
                         [this] { this->accept(this->server.nextPendingConnection()); });
    }

    /** Reads all that comes on the first connection. */
    void readOn()
    {
        QTcpSocket *socket = this->connections.front();
        socket->setReadBufferSize(0);
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, socket] { this->firstBytes += socket->readAll(); });
        this->firstBytes += socket->readAll();
    }

    QTcpServer server;
    std::vector<QTcpSocket *> connections;
    QByteArray firstBytes; ///< of the first connection

private:
    void accept(QTcpSocket *socket)
    {
        const bool isFirst = this->connections.empty();
        this->connections.push_back(socket);
        constexpr qint64 heldBytes = 1024; // more than the head of a request
        socket->setReadBufferSize(heldBytes);
        const auto begun = std::make_shared<bool>(false);
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, isFirst, begun] {
            if (std::exchange(*begun, true))
                return;
            const QByteArray text = socket->readAll();
            if (isFirst)
                this->firstBytes += text;
            HttpRequest request;
            const QByteArray idField = "Lacewingmux-Request-Id: ";
            const qsizetype id = text.indexOf(idField) + idField.size();
            request.fields.push_back(
                    {"Lacewingmux-Request-Id", text.mid(id, text.indexOf('\r', id) - id)});
            socket->write(GatewayFixture::answer(request, "early"));
        });
    }
};

} // namespace

// The bytes of another request must not follow where the rest of the body is due.
Test(early_answer, leaves_no_connection_on_which_another_request_follows)
{
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    EarlyReplica replica;
    fixture.instances[0].port = replica.server.serverPort();
    fixture.gateway->setReplicas(fixture.instances);
    const QByteArray body(qsizetype{3} * 1024 * 1024, 'x');
    RawCaller first(fixture.gateway->port());
    first.send(GatewayFixture::request("POST", "/once/x", "r1", {}, body));
    fixture.loop.waitUntil([&] { return first.received().endsWith("early"); }, "the answer");
    RawCaller second(fixture.gateway->port());
    second.send(GatewayFixture::request("POST", "/once/x", "r2"));
    fixture.loop.waitUntil([&] { return second.received().endsWith("early"); }, "the answer");
    cr_assert_eq(replica.connections.size(), 2);
    replica.readOn();
    fixture.loop.waitUntil(
            [&] {
                return replica.connections.front()->state() == QAbstractSocket::UnconnectedState;
            },
            "the end of the connection");
    cr_assert_lt(replica.firstBytes.size(), body.size(), "the body must not have been sent whole");
    cr_assert(!replica.firstBytes.contains("r2"));
}

namespace {

/** What a replica does after it has answered a request at its head and ended its side of the
    connection. */
enum class Afterwards { ReadsOn, Resets };

/** Answers each request once it has the head, without a length, and ends its side. */
class HalfClosingReplica
{
public:
    HalfClosingReplica(Afterwards whatFollows, milliseconds followsAfter, const QByteArray &type)
        : afterwards(whatFollows)
        , delay(followsAfter)
        , contentType(type)
    {
        this->server.listen(QHostAddress::LocalHost);
        const int receiveBytes = 4096; // so that a large body can not be written at once
        ::setsockopt(static_cast<int>(this->server.socketDescriptor()), SOL_SOCKET, SO_RCVBUF,
                     &receiveBytes, sizeof receiveBytes);
        QObject::connect(&this->server, &QTcpServer::newConnection, &this->server,
                         [this] { this->accept(this->server.nextPendingConnection()); });
    }

    QTcpServer server;
    qsizetype received = 0;

private:
    void accept(QTcpSocket *socket)
    {
        socket->setReadBufferSize(1024);
        const auto begun = std::make_shared<bool>(false);
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, begun] {
            const bool isHeld = *begun && socket->readBufferSize() > 0;
            const QByteArray text = isHeld ? QByteArray() : socket->readAll();
            this->received += text.size();
            if (std::exchange(*begun, true))
                return;
            const QByteArray idField = "Lacewingmux-Request-Id: ";
            const qsizetype id = text.indexOf(idField) + idField.size();
            socket->write("HTTP/1.1 200 OK\r\n" + idField
                          + text.mid(id, text.indexOf('\r', id) - id)
                          + "\r\nLacewingmux-Server-Stamp: stamp\r\nContent-Type: "
                          + this->contentType + "\r\n\r\n" + "id: 1\ndata: part\n\n");
            socket->flush();
            ::shutdown(static_cast<int>(socket->socketDescriptor()), SHUT_WR);
            QTimer::singleShot(this->delay, socket, [this, socket] {
                if (this->afterwards == Afterwards::Resets) {
                    resetConnection(*socket);
                    return;
                }
                socket->setReadBufferSize(0);
                this->received += socket->readAll().size();
            });
        });
    }

    Afterwards afterwards;
    milliseconds delay;
    QByteArray contentType;
};

constexpr qsizetype longBody = qsizetype{3} * 1024 * 1024;

/** Sends a long request to the replica; returns the response until the connection has ended or the
    response is whole. */
QByteArray responseOf(GatewayFixture &fixture, const HalfClosingReplica &replica,
                      const QByteArray &path)
{
    fixture.useTimeout(std::chrono::seconds(10));
    fixture.instances[0].port = replica.server.serverPort();
    fixture.gateway->setReplicas(fixture.instances);
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", path, "r1", {}, QByteArray(longBody, 'x')));
    fixture.loop.waitUntil(
            [&caller] {
                return caller.isClosed() || caller.received().endsWith("part\n\n")
                       || caller.received().endsWith("0\r\n\r\n")
                       || caller.received().endsWith("}");
            },
            "the response");
    fixture.loop.runFor(milliseconds(300)); // a stream may go on
    return caller.received();
}

} // namespace

// Guards against the first part of an answer being passed on as a whole one, when its replica ends
// its side of the connection and resets it while the request is still being written.
Test(early_answer, that_a_reset_follows_while_the_request_is_written_is_not_whole)
{
    for (const milliseconds delay : {milliseconds(5), milliseconds(50), milliseconds(500)}) {
        for (const char *path : {"/once/x", "/safe/x"}) {
            GatewayFixture fixture(1, [](const auto &, const auto &) {});
            const HalfClosingReplica replica(Afterwards::Resets, delay, "text/plain");
            const QByteArray response = responseOf(fixture, replica, path);
            cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
        }
        GatewayFixture fixture(1, [](const auto &, const auto &) {});
        const HalfClosingReplica replica(Afterwards::Resets, delay, "text/event-stream");
        const QByteArray response = responseOf(fixture, replica, "/stream/x");
        cr_assert(!response.endsWith("0\r\n\r\n"), "%s", response.constData());
    }
}

// The replica reads on after its answer, which is then whole.
Test(early_answer, whose_replica_reads_the_rest_of_the_request_is_passed_on)
{
    for (const milliseconds delay : {milliseconds(0), milliseconds(100)}) {
        GatewayFixture fixture(1, [](const auto &, const auto &) {});
        const HalfClosingReplica replica(Afterwards::ReadsOn, delay, "text/plain");
        const QByteArray response = responseOf(fixture, replica, "/once/x");
        cr_assert(response.startsWith("HTTP/1.1 200"), "%s", response.constData());
        cr_assert(response.endsWith("id: 1\ndata: part\n\n"));
        cr_assert_gt(replica.received, longBody);
        GatewayFixture otherFixture(1, [](const auto &, const auto &) {});
        const HalfClosingReplica streaming(Afterwards::ReadsOn, delay, "text/event-stream");
        const QByteArray stream = responseOf(otherFixture, streaming, "/stream/x");
        cr_assert(stream.contains("data: part") && stream.endsWith("0\r\n\r\n"));
    }
}

#include "support/GatewayFixture.h"

#include <QTcpServer>
#include <QTcpSocket>

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

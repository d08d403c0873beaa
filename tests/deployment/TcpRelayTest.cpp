#include "deployment/TcpRelay.h"
#include "deployment/EventLoopWait.h"

#include <QCoreApplication>

#include <criterion/criterion.h>

using namespace lacewingmux::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds bound{20};

/** A server that sends back what it receives, and a client behind a relay to it. */
struct EchoBehindRelay
{
    EchoBehindRelay()
    {
        this->server.listen(QHostAddress::LocalHost);
        QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] {
            QTcpSocket *socket = this->server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket,
                             [socket] { socket->write(socket->readAll()); });
        });
        this->relay = std::make_unique<TcpRelay>(QHostAddress(QHostAddress::LocalHost),
                                                 this->server.serverPort());
        this->client.connectToHost(QHostAddress(QHostAddress::LocalHost), this->relay->port());
    }

    bool receives(const QByteArray &text)
    {
        return waitUntil(
                [this, &text] {
                    this->received += this->client.readAll();
                    return this->received.endsWith(text);
                },
                bound);
    }

    QTcpServer server;
    std::unique_ptr<TcpRelay> relay;
    QTcpSocket client;
    QByteArray received;
};

} // namespace

Test(TcpRelay, holdsBytesBackWhileCutAndPassesThemOnWhenMended)
{
    int argumentCount = 0;
    QCoreApplication application(argumentCount, nullptr);
    EchoBehindRelay echo;
    echo.client.write("one");
    cr_assert(echo.receives("one"));

    echo.relay->cut();
    echo.client.write("two");
    cr_assert_not(waitUntil([&echo] { return echo.client.bytesAvailable() > 0; }, 300ms));
    cr_assert_eq(echo.client.state(), QAbstractSocket::ConnectedState);

    echo.relay->mend();
    cr_assert(echo.receives("two"));
}

Test(TcpRelay, resetEndsConnections)
{
    int argumentCount = 0;
    QCoreApplication application(argumentCount, nullptr);
    EchoBehindRelay echo;
    echo.client.write("one");
    cr_assert(echo.receives("one"));
    echo.relay->reset();
    cr_assert(waitUntil(
            [&echo] { return echo.client.state() == QAbstractSocket::UnconnectedState; }, bound));
}

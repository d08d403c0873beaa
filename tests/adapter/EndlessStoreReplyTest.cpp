#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "loops/EventLoop.h"
#include "platform/StoreClient.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

#include <chrono>
#include <utility>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a daemon that keeps all bytes of a reply without end until the call's time is up.

namespace {

constexpr qint64 blockBytes = qint64{256} * 1024;
constexpr qint64 sentAtMost = qint64{128} * 1024 * 1024;
// The client's limit of 16 MiB, and what the buffers of both sockets hold.
constexpr qint64 takenAtMost = qint64{48} * 1024 * 1024;

/** A store that answers each call with the opening and then 128 MiB of the filling. */
class EndlessStore
{
public:
    EndlessStore(QByteArray replyOpening, char replyFilling)
        : opening(std::move(replyOpening))
        , block(blockBytes, replyFilling)
    {
        this->server.listen(QHostAddress::LocalHost);
        QObject::connect(&this->server, &QTcpServer::newConnection, &this->server, [this] {
            QTcpSocket *socket = this->server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                socket->readAll();
                socket->write(this->opening);
            });
            QObject::connect(socket, &QTcpSocket::bytesWritten, socket, [this, socket] {
                if (socket->bytesToWrite() == 0 && this->sent < sentAtMost)
                    this->sent += socket->write(this->block);
            });
        });
    }

    [[nodiscard]] PlatformStoreSettings settings() const
    {
        PlatformStoreSettings wanted;
        wanted.endpoints = {
                QUrl(QStringLiteral("http://127.0.0.1:%1").arg(this->server.serverPort()))};
        wanted.clientName = QStringLiteral("test");
        wanted.callTimeout = milliseconds(3000);
        return wanted;
    }

    qint64 sent = 0;

private:
    QByteArray opening;
    QByteArray block;
    QTcpServer server;
};

/** Returns the bytes that the client took of the reply to a listing, which must count as none. */
qint64 takenOf(const QByteArray &opening, char filling)
{
    EventLoop loop;
    IgnoringMetricsRecorder metrics;
    EndlessStore store(opening, filling);
    StoreClient client(loop.timers, metrics, store.settings());
    bool isOver = false;
    client.readPrefix("p/", [&isOver](const auto &records) {
        cr_assert(!records);
        isOver = true;
    });
    loop.waitUntil([&isOver] { return isOver; }, "the end of the call");
    return store.sent;
}

} // namespace

Test(endless_store_reply, in_a_body_is_not_kept)
{
    const QByteArray head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    cr_expect_lt(takenOf(head + "\r\n[", ' '), takenAtMost);
    cr_expect_lt(takenOf(head + "Content-Length: 99999999999\r\n\r\n[", ' '), takenAtMost);
    cr_expect_lt(takenOf("HTTP/1.1 500 Failed\r\n\r\n", 'x'), takenAtMost);
}

Test(endless_store_reply, in_a_head_is_not_kept)
{
    cr_expect_lt(takenOf("HTTP/1.1 200 OK\r\nX: ", 'x'), takenAtMost);
    cr_expect_lt(takenOf("", '\n'), takenAtMost);
}

Test(endless_store_reply, in_the_header_of_a_chunk_is_not_kept)
{
    cr_expect_lt(takenOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", 'x'),
                 takenAtMost);
}

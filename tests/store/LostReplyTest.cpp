#include "EventLoop.h"
#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_keyvalue/client/HttpPlatformStore.h"
#include "store/StoreStandin.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const QByteArray key = "lacewingmux/configuration";

PlatformStoreSettings settingsFor(std::uint16_t port)
{
    PlatformStoreSettings settings;
    settings.endpoints = {QUrl(QStringLiteral("http://127.0.0.1:%1").arg(port))};
    settings.clientName = QStringLiteral("vm-1");
    return settings;
}

/**
    A server that answers each read and, on a write, reads the whole request and closes the
    connection without an answer: the case in which QNetworkAccessManager sends again by itself.
*/
class ClosingServer
{
public:
    ClosingServer()
    {
        QObject::connect(&this->listener, &QTcpServer::newConnection, &this->listener, [this] {
            QTcpSocket *socket = this->listener.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket,
                             [this, socket] { this->handle(socket); });
        });
        this->listener.listen(QHostAddress::LocalHost, 0);
    }

    std::uint16_t port() const
    {
        return this->listener.serverPort();
    }

    int writes = 0;

private:
    void handle(QTcpSocket *socket)
    {
        const QByteArray request = socket->readAll();
        if (request.contains("POST /v3/kv/txn")) {
            ++this->writes;
            socket->close();
            return;
        }
        if (request.contains("POST /v3/kv/range")) {
            const QByteArray answer = R"({"header":{"revision":"1"}})";
            socket->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                          + QByteArray::number(answer.size()) + "\r\n\r\n" + answer);
        }
    }

    QTcpServer listener;
};

} // namespace

Test(LostReply, aWriteOnAReusedConnectionIsSentOnceAndUnknown)
{
    EventLoop loop;
    QtTimerService timers;
    IgnoringMetricsRecorder metrics;
    ClosingServer server;
    HttpPlatformStore store(timers, metrics, settingsFor(server.port()));
    bool wasRead = false;
    store.read(key, [&wasRead](auto) { wasRead = true; });
    cr_assert(loop.until([&wasRead] { return wasRead; }));
    std::optional<CompareAndSwapOutcome> outcome;
    store.compareAndSwap(key, 0, "value", [&outcome](const auto &r) { outcome = r.outcome; });
    cr_assert(loop.until([&outcome] { return outcome.has_value(); }));
    cr_assert(*outcome == CompareAndSwapOutcome::Unknown);
    cr_assert_eq(server.writes, 1);
}

Test(LostReply, anAppliedWriteIsNeverReportedAsFailed)
{
    EventLoop loop;
    QtTimerService timers;
    IgnoringMetricsRecorder metrics;
    StoreStandin standin(timers);
    cr_assert(standin.start(0, 0));
    HttpPlatformStore store(timers, metrics, settingsFor(standin.port()));
    std::int64_t revision = 0;
    for (int round = 0; round < 20; ++round) {
        const bool lose = round % 2 == 1;
        standin.setFaults({{QStringLiteral("loseWriteReplies"), lose ? 1 : 0}});
        std::optional<CompareAndSwapOutcome> outcome;
        store.compareAndSwap(key, revision, QByteArray::number(round),
                             [&outcome](const auto &result) { outcome = result.outcome; });
        cr_assert(loop.until([&outcome] { return outcome.has_value(); }));
        cr_assert(
                *outcome
                        == (lose ? CompareAndSwapOutcome::Unknown : CompareAndSwapOutcome::Applied),
                "round %d", round);
        cr_assert(standin.table().find(key)->value == QByteArray::number(round));
        revision = standin.table().find(key)->modRevision;
    }
    cr_assert_eq(standin.calls(QStringLiteral("vm-1"), QStringLiteral("/v3/kv/txn")), 20);
}

#include "lacewingmux_gateway/ingress/ReadinessServer.h"
#include "loops/EventLoop.h"
#include "replica/RawCaller.h"

#include <QTcpSocket>

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

const QByteArray check = "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

Test(readiness_server, answers_checks_on_one_connection)
{
    EventLoop loop;
    bool isReady = true;
    const ReadinessServer server(QHostAddress(QHostAddress::LocalHost), 0,
                                 [&isReady] { return isReady; });
    RawCaller caller(server.port());
    caller.send(check + check);
    loop.waitUntil([&] { return caller.received().count("HTTP/1.1 200 ") == 2; }, "the answers");
    isReady = false;
    caller.send(check);
    loop.waitUntil([&] { return caller.received().contains("HTTP/1.1 503 "); }, "the answer");
}

// Otherwise the answers to a caller that only sends take memory without end.
Test(readiness_server, closes_the_connection_of_a_caller_that_reads_no_answers)
{
    EventLoop loop;
    const ReadinessServer server(QHostAddress(QHostAddress::LocalHost), 0, [] { return true; });
    QTcpSocket caller;
    caller.setReadBufferSize(1);
    caller.connectToHost(QHostAddress(QHostAddress::LocalHost), server.port());
    bool hasEnded = false;
    QObject::connect(&caller, &QTcpSocket::errorOccurred, &caller, [&] { hasEnded = true; });
    const QByteArray checks = check.repeated(4096);
    constexpr int blocks = 400; // of answers far beyond the buffers of both sockets
    int sent = 0;
    while (!hasEnded && sent < blocks) {
        if (caller.bytesToWrite() == 0 && caller.state() == QAbstractSocket::ConnectedState) {
            caller.write(checks);
            ++sent;
        }
        loop.runFor(std::chrono::milliseconds(1));
    }
    loop.runFor(std::chrono::milliseconds(100));
    cr_assert(hasEnded);
}

Test(readiness_server, closes_the_connection_of_a_caller_that_sends_a_long_body)
{
    EventLoop loop;
    const ReadinessServer server(QHostAddress(QHostAddress::LocalHost), 0, [] { return true; });
    RawCaller caller(server.port());
    caller.send("POST /v1/ready HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n"
                + QByteArray(1000000, 'x'));
    loop.waitUntil([&caller] { return caller.isClosed(); }, "the end of the connection");
}

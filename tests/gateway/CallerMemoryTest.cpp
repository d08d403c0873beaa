#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/MemoryAccount.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a VM that runs out of memory because of callers: many that send long requests at
// once, or that do not read their responses.

namespace {

constexpr qsizetype mebibyte = qsizetype{1024} * 1024;
constexpr int longCallers = 20;

QByteArray partOfLongRequest(int number)
{
    return "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token good\r\n"
           "Lacewingmux-Request-Id: long"
           + QByteArray::number(number) + "\r\nContent-Length: " + QByteArray::number(4 * mebibyte)
           + "\r\n\r\n" + QByteArray(3 * mebibyte, 'x');
}

/** A connection whose caller reads nothing, with a request that is being served. */
class UnreadConnection
{
public:
    explicit UnreadConnection(qsizetype memoryLimit)
        : memory(std::make_shared<MemoryAccount>(memoryLimit))
    {
        this->limits.idleTimeout = milliseconds(300);
        this->server.listen(QHostAddress::LocalHost);
        this->caller.setReadBufferSize(1);
        this->caller.connectToHost(QHostAddress(QHostAddress::LocalHost),
                                   this->server.serverPort());
        this->caller.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        this->loop.waitUntil([this] { return this->server.hasPendingConnections(); },
                             "the connection");
        QTcpSocket *socket = this->server.nextPendingConnection();
        socket->setParent(nullptr);
        bool hasArrived = false;
        IngressConnection::Hooks hooks;
        hooks.requestArrived = [&hasArrived](const HttpRequest &) { hasArrived = true; };
        hooks.callerDisconnected = [this] { ++this->disconnects; };
        hooks.closed = [this] { ++this->closes; };
        this->connection = std::make_unique<IngressConnection>(socket, this->limits, this->memory,
                                                               this->loop.timers, std::move(hooks));
        this->connection->start();
        this->loop.waitUntil([&hasArrived] { return hasArrived; }, "the request");
    }

    /** Returns whether the connection ends while it is checked for a second. */
    [[nodiscard]] bool ends()
    {
        for (int check = 0; check < 50 && this->closes == 0; ++check) {
            this->loop.runFor(milliseconds(20));
            this->connection->enforceTimeouts();
        }
        return this->closes == 1;
    }

    EventLoop loop;
    HttpLimits limits;
    std::shared_ptr<MemoryAccount> memory;
    QTcpServer server;
    QTcpSocket caller;
    int disconnects = 0;
    int closes = 0;
    std::unique_ptr<IngressConnection> connection;
};

} // namespace

Test(caller_memory, refuses_long_requests_beyond_the_limit_and_serves_short_ones)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "own"));
    });
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int number = 0; number < longCallers; ++number) {
        callers.push_back(std::make_unique<RawCaller>(fixture.gateway->port()));
        callers.back()->send(partOfLongRequest(number));
    }
    fixture.loop.runFor(milliseconds(1000));
    const auto refused = std::count_if(callers.begin(), callers.end(), [](const auto &caller) {
        return caller->received().startsWith("HTTP/1.1 503 ") || caller->isClosed();
    });
    cr_expect_geq(refused, longCallers - 4); // 12 MiB are for four of 3 MiB each
    cr_expect_lt(refused, longCallers);
    RawCaller other(fixture.gateway->port());
    other.send(GatewayFixture::request("POST", "/once/x", "short", {}, "body"));
    fixture.loop.waitUntil([&other] { return other.received().endsWith("own"); }, "the answer");
    cr_expect_eq(fixture.requestCount(), 1);
}

Test(caller_memory, ends_a_connection_whose_unread_response_passes_the_limit)
{
    UnreadConnection test(mebibyte);
    test.connection->sendResponse(200, "OK", {}, QByteArray(16 * mebibyte, 'x'));
    cr_expect(test.ends());
    test.connection.reset();
    cr_expect_eq(test.memory->usedBytes(), 0);
}

Test(caller_memory, ends_a_connection_whose_unread_stream_passes_the_limit)
{
    UnreadConnection test(mebibyte);
    test.connection->beginStream(200, "OK", {}, "data: a\n\n");
    for (int number = 0; number < 16; ++number)
        test.connection->sendChunk(QByteArray(mebibyte, 'x'));
    cr_expect(test.ends());
    cr_expect_eq(test.disconnects, 1, "the owner must learn that its caller is gone");
}

// A caller that acknowledges probes of its closed window can keep its connection open.
Test(caller_memory, ends_a_connection_whose_complete_response_is_not_read_in_time)
{
    UnreadConnection test(64 * mebibyte);
    test.connection->sendResponse(200, "OK", {}, QByteArray(16 * mebibyte, 'x'));
    cr_expect_gt(test.connection->unsentBytes(), 0);
    cr_expect(test.ends());
}

Test(caller_memory, is_free_again_behind_each_response)
{
    UnreadConnection test(64 * mebibyte);
    test.connection->sendResponse(200, "OK", {}, QByteArray(16 * mebibyte, 'x'));
    test.caller.setReadBufferSize(0);
    QObject::connect(&test.caller, &QTcpSocket::readyRead, &test.caller,
                     [&test] { test.caller.readAll(); });
    test.caller.readAll();
    test.loop.waitUntil([&test] { return test.memory->usedBytes() == 0; }, "the free memory");
    cr_expect_eq(test.closes, 0);
}

#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/MemoryAccount.h"
#include "lacewingmux_gateway/ingress/IngressConnection.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

#include <optional>
#include <utility>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

/** One connection of a caller, which the test serves itself. */
class ServedConnection
{
public:
    static constexpr qsizetype memoryLimit = qsizetype{1024} * 1024;

    explicit ServedConnection(const HttpLimits &httpLimits = HttpLimits())
        : limits(httpLimits)
    {
        this->server.listen(QHostAddress::LocalHost);
        this->caller.emplace(this->server.serverPort());
        QTcpSocket *socket = nullptr;
        this->loop.waitUntil(
                [&] { return (socket = this->server.nextPendingConnection()) != nullptr; },
                "the connection");
        socket->setParent(nullptr);
        IngressConnection::Hooks hooks;
        hooks.requestArrived = [this](HttpRequest request) {
            this->requests.push_back(std::move(request));
        };
        hooks.callerDisconnected = [this] { ++this->disconnects; };
        hooks.closed = [this] { ++this->closes; };
        this->connection.emplace(socket, this->limits, this->memory, this->loop.timers,
                                 std::move(hooks));
        this->connection->start();
    }

    void send(const QByteArray &paths)
    {
        QByteArray text;
        for (const QByteArray &path : paths.split(' '))
            text += "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
        this->caller->send(text);
    }

    void waitForRequests(std::size_t count)
    {
        this->loop.waitUntil([&] { return this->requests.size() == count; }, "the requests");
    }

    EventLoop loop;
    HttpLimits limits;
    std::shared_ptr<MemoryAccount> memory = std::make_shared<MemoryAccount>(memoryLimit);
    QTcpServer server;
    std::optional<RawCaller> caller;
    std::vector<HttpRequest> requests;
    int disconnects = 0;
    int closes = 0;
    std::optional<IngressConnection> connection;
};

} // namespace

// Otherwise the caller waits for the rest of a stream that nothing continues.
Test(ingress_connection, breaks_a_stream_off_that_is_answered_otherwise)
{
    for (const bool streamsAgain : {false, true}) {
        ServedConnection test;
        test.send("/a");
        test.waitForRequests(1);
        test.connection->beginStream(200, "OK", {}, "data: a\n\n");
        if (streamsAgain)
            test.connection->beginStream(200, "OK", {}, "data: b\n\n");
        else
            test.connection->sendResponse(502, "Bad Gateway", {}, "failed");
        test.connection->sendChunk("data: c\n\n");
        test.connection->endStream();
        test.loop.waitUntil([&] { return test.caller->isClosed(); }, "the end of the connection");
        const QByteArray received = test.caller->received();
        cr_assert(!received.endsWith("0\r\n\r\n"), "%s", received.constData());
        cr_assert(!received.contains("failed") && !received.contains("data: b"));
        cr_assert_eq(test.closes, 1);
        cr_assert_eq(test.disconnects, 0, "the owner has ended the response itself");
    }
}

Test(ingress_connection, delivers_a_pipelined_request_only_behind_the_response_before)
{
    ServedConnection test;
    test.send("/a /b /c");
    test.waitForRequests(1);
    test.loop.runFor(milliseconds(50));
    cr_assert_eq(test.requests.size(), 1);
    test.connection->sendResponse(200, "OK", {}, "A");
    test.connection->sendResponse(200, "OK", {}, "again");
    test.waitForRequests(2);
    test.connection->beginStream(200, "OK", {}, "B");
    test.loop.runFor(milliseconds(50));
    cr_assert_eq(test.requests.size(), 2);
    test.connection->endStream();
    test.connection->sendChunk("late");
    test.connection->endStream();
    test.waitForRequests(3);
    cr_assert(test.requests[2].target == "/c");
    test.connection->sendResponse(200, "OK", {}, "C");
    test.loop.waitUntil([&] { return test.caller->received().endsWith("\r\n\r\nC"); }, "the end");
    cr_assert_eq(test.caller->received().count("HTTP/1.1 "), 3);
    cr_assert(!test.caller->received().contains("again"));
    cr_assert(!test.caller->received().contains("late"));
}

Test(ingress_connection, writes_nothing_while_no_request_waits)
{
    ServedConnection test;
    test.connection->sendResponse(200, "OK", {}, "A");
    test.connection->beginStream(200, "OK", {}, "B");
    test.connection->sendChunk("C");
    test.connection->endStream();
    test.send("/a");
    test.waitForRequests(1);
    test.connection->sendResponse(200, "OK", {}, "own");
    test.loop.waitUntil([&] { return test.caller->received().endsWith("own"); }, "the response");
    cr_assert_eq(test.caller->received().count("HTTP/1.1 "), 1);
}

Test(ingress_connection, delivers_no_pipelined_request_of_a_caller_that_has_left)
{
    ServedConnection test;
    test.send("/a /b");
    test.waitForRequests(1);
    test.caller->close();
    test.loop.waitUntil([&] { return test.closes == 1; }, "the end of the connection");
    cr_assert_eq(test.disconnects, 1);
    test.connection->sendResponse(200, "OK", {}, "A");
    test.loop.runFor(milliseconds(50));
    cr_assert_eq(test.requests.size(), 1);
    cr_assert_eq(test.closes, 1);
}

// The answer to the first request comes when that request's time is up and the next one waits.
Test(pipelined_request, gets_its_own_answer_behind_one_that_came_too_late)
{
    std::optional<ScriptedReplica::Exchange> first;
    HttpRequest firstRequest;
    GatewayFixture fixture(1, [&](const HttpRequest &request, const auto &exchange) {
        if (!first) {
            first = exchange;
            firstRequest = request;
            return;
        }
        first->write(GatewayFixture::answer(firstRequest, "late"));
        exchange.writeAfter(milliseconds(50), GatewayFixture::answer(request, "own"));
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1", "Lacewingmux-Deadline-Ms: 200\r\n")
                + GatewayFixture::request("POST", "/once/x", "r2"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("own"); }, "the answers");
    cr_assert(caller.received().startsWith("HTTP/1.1 504"));
    cr_assert_eq(caller.received().count("HTTP/1.1 "), 2);
    cr_assert(!caller.received().contains("late"));
    cr_assert_lt(caller.received().indexOf("Lacewingmux-Request-Id: r1"),
                 caller.received().indexOf("Lacewingmux-Request-Id: r2"));
}

// What follows a stream that was broken off can't be distinguished from its rest.
Test(pipelined_request, behind_a_stream_that_is_broken_off_is_neither_run_nor_answered)
{
    std::optional<ScriptedReplica::Exchange> stream;
    GatewayFixture fixture(1, [&](const HttpRequest &request, const auto &exchange) {
        stream = exchange;
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1")
                + GatewayFixture::request("POST", "/once/x", "r2"));
    fixture.loop.waitUntil([&] { return caller.received().contains("data: a"); }, "an event");
    stream->reset();
    fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the connection");
    cr_assert_eq(caller.received().count("HTTP/1.1 "), 1);
    cr_assert(!caller.received().endsWith("0\r\n\r\n"));
    fixture.loop.runFor(milliseconds(50));
    cr_assert_eq(fixture.requestCount(), 1);
}

// A body behind the answer to HEAD would be read as the beginning of the next answer.
Test(pipelined_request, behind_a_head_request_gets_its_own_answer)
{
    for (const QByteArray &status : {QByteArray("200 OK"), QByteArray("500 Broken")}) {
        GatewayFixture fixture(1, [status](const HttpRequest &request, const auto &exchange) {
            QByteArray text = GatewayFixture::answer(request, "body");
            if (request.method == "HEAD")
                text = text.chopped(4).replace("200 OK", status);
            exchange.write(text);
        });
        RawCaller caller(fixture.gateway->port());
        caller.send(GatewayFixture::request("HEAD", "/once/x", "r1")
                    + GatewayFixture::request("HEAD", "/nowhere/x", "r2")
                    + GatewayFixture::request("POST", "/once/x", "r3"));
        fixture.loop.waitUntil([&] { return caller.received().endsWith("body"); }, "the answers");
        cr_assert(caller.received().startsWith("HTTP/1.1 " + status));
        cr_assert_eq(caller.received().count("HTTP/1.1 "), 3);
        cr_assert_eq(caller.received().count("\r\n\r\nHTTP/1.1 "), 2, "no bodies but the last");
        cr_assert_eq(caller.received().count("body"), 1);
    }
}

// The rest of a body whose request is refused early must not be read as requests.
Test(refused_request, with_a_request_in_the_unread_rest_of_its_body_runs_none)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    const QByteArray smuggled = GatewayFixture::request("POST", "/once/x", "r2");
    const QByteArray length = QByteArray::number(qint64{64} * 1024 * 1024);
    const QByteArray head = "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
                            "Authorization: Token good\r\nLacewingmux-Request-Id: r1\r\n";
    for (const QByteArray &refused :
         {head + "Content-Length: " + length + "\r\n\r\n", head + "Content-Length: x\r\n\r\n",
          head + "Transfer-Encoding: gzip\r\n\r\n",
          head + "Transfer-Encoding: chunked\r\n\r\nnone\r\n"}) {
        RawCaller caller(fixture.gateway->port());
        caller.send(refused + smuggled);
        fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); },
                               "the refusal");
        caller.sendNow(smuggled);
        fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the connection");
        cr_assert(caller.received().startsWith("HTTP/1.1 4"), "%s", caller.received().constData());
        cr_assert_eq(caller.received().count("HTTP/1.1 "), 1);
    }
    cr_assert_eq(fixture.requestCount(), 0);
}

// Bytes that are no request get no success, and do not harm the answer before them.
Test(pipelined_request, that_is_none_is_refused_behind_the_answer_before)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.writeAfter(milliseconds(50), GatewayFixture::answer(request, "own"));
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1") + "no request\r\n\r\n");
    fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the connection");
    cr_assert(caller.received().startsWith("HTTP/1.1 200"));
    cr_assert(caller.received().contains("\r\n\r\nownHTTP/1.1 400"), "%s",
              caller.received().constData());
    cr_assert_eq(fixture.requestCount(), 1);
}

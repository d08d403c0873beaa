#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

#include <QNetworkProxy>
#include <QTcpSocket>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

using Exchange = ScriptedReplica::Exchange;

// The route's timeout does not fit into it, the deadlines that callers state do.
constexpr milliseconds shortStop{1200};
constexpr const char *shortDeadline = "Lacewingmux-Deadline-Ms: 500\r\n";

bool hasAnswer(const RawCaller &caller)
{
    return caller.received().contains("\r\n\r\n");
}

bool isWholeStream(const RawCaller &caller)
{
    return caller.received().endsWith("0\r\n\r\n");
}

/** A replica that sends an event at once, and the end of its stream after the delay. */
ScriptedReplica::Handler streamsFor(milliseconds delay)
{
    return [delay](const HttpRequest &request, const Exchange &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
        exchange.writeAfter(delay, "0\r\n\r\n");
    };
}

/** A gateway that ends with its planned stop, as the process does. */
class StoppingGateway
{
public:
    StoppingGateway(milliseconds stopLimit, const ScriptedReplica::Handler &handler)
        : fixture(1, handler, platformDialect(), stopLimit)
        , caller(this->fixture.gateway->port())
    { }

    void beginStop()
    {
        this->fixture.gateway->beginStop([this] {
            this->fixture.loop.timers.post([this] {
                this->drained = true;
                this->fixture.gateway.reset();
            });
        });
    }

    void sendAndWaitForReplica(const QByteArray &request)
    {
        this->caller.send(request);
        this->fixture.loop.waitUntil([&] { return this->fixture.requestCount() > 0; },
                                     "the request at the replica");
    }

    GatewayFixture fixture;
    RawCaller caller;
    bool drained = false;
};

} // namespace

Test(planned_stop, does_not_take_a_request_that_it_would_cut)
{
    StoppingGateway test(shortStop, streamsFor(milliseconds(1400)));
    test.beginStop();
    test.fixture.loop.runFor(milliseconds(50));
    test.caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    test.fixture.loop.waitUntil([&] { return hasAnswer(test.caller); }, "the refusal");
    cr_assert(test.caller.received().startsWith("HTTP/1.1 503"), "%s",
              test.caller.received().constData());
    cr_assert(test.caller.received().contains("Retry-After: 0.05\r\n"));
    cr_assert(test.caller.received().contains("Connection: close\r\n"));
    test.fixture.loop.waitUntil([&] { return test.drained && test.caller.isClosed(); }, "the end");
    cr_assert_eq(test.fixture.requestCount(), 0);
}

Test(planned_stop, takes_a_request_that_ends_in_time)
{
    StoppingGateway test(shortStop, streamsFor(milliseconds(400)));
    test.beginStop();
    test.fixture.loop.runFor(milliseconds(50));
    test.caller.send(GatewayFixture::request("POST", "/stream/x", "r1", shortDeadline));
    test.fixture.loop.waitUntil([&] { return isWholeStream(test.caller); }, "the whole stream");
    cr_assert(test.caller.received().startsWith("HTTP/1.1 200"));
}

Test(planned_stop, ends_a_call_at_its_deadline_with_an_answer)
{
    StoppingGateway test(shortStop, [](const auto &, const auto &) {});
    test.beginStop();
    test.sendAndWaitForReplica(GatewayFixture::request("POST", "/once/x", "r1", shortDeadline));
    test.fixture.loop.waitUntil([&] { return hasAnswer(test.caller); }, "the answer");
    cr_assert(test.caller.received().startsWith("HTTP/1.1 504"));
    cr_assert(test.caller.received().contains("did not answer in time"));
}

// A turn is kept, or given up, by the deadline of its call.
Test(planned_stop, does_not_take_a_turn_that_could_not_be_kept_in_time)
{
    StoppingGateway test(shortStop, streamsFor(milliseconds(50)));
    test.beginStop();
    test.caller.send(GatewayFixture::request("POST", "/turn/x", "r1"));
    test.fixture.loop.waitUntil([&] { return hasAnswer(test.caller); }, "the refusal");
    cr_assert(test.caller.received().startsWith("HTTP/1.1 503"));
    cr_assert_eq(test.fixture.requestCount(), 0);
}

Test(planned_stop, waits_until_a_turn_is_kept)
{
    StoppingGateway test(shortStop, streamsFor(milliseconds(50)));
    test.beginStop();
    test.caller.send(GatewayFixture::request("POST", "/turn/x", "r1", shortDeadline));
    test.fixture.loop.waitUntil([&] { return test.fixture.turnStore.pendingStore != nullptr; },
                                "the turn");
    test.fixture.loop.runFor(milliseconds(250));
    cr_assert_not(test.drained);
    test.fixture.turnStore.pendingStore(true);
    test.fixture.loop.waitUntil([&] { return isWholeStream(test.caller); }, "the whole stream");
}

Test(planned_stop, refuses_a_call_that_still_waits_for_a_replica)
{
    StoppingGateway test(shortStop, [](const HttpRequest &request, const Exchange &exchange) {
        exchange.write("HTTP/1.1 503 Full\r\nLacewingmux-Request-Id: "
                       + fieldValue(request.fields, "Lacewingmux-Request-Id")
                       + "\r\nLacewingmux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    });
    test.sendAndWaitForReplica(GatewayFixture::request("POST", "/once/x", "r1"));
    test.fixture.loop.runFor(milliseconds(50));
    const auto begun = std::chrono::steady_clock::now();
    test.beginStop();
    test.fixture.loop.waitUntil([&] { return hasAnswer(test.caller); }, "the refusal");
    cr_assert(test.caller.received().startsWith("HTTP/1.1 503"));
    cr_assert(test.caller.received().contains("\"shuttingDown\""), "%s",
              test.caller.received().constData());
    cr_assert_lt(std::chrono::steady_clock::now() - begun, milliseconds(300));
}

Test(planned_stop, does_not_send_a_rejected_call_again_that_it_would_cut)
{
    StoppingGateway test(shortStop, [](const HttpRequest &request, const Exchange &exchange) {
        const QByteArray id = fieldValue(request.fields, "Lacewingmux-Request-Id");
        exchange.writeAfter(milliseconds(200), "HTTP/1.1 503 Full\r\nLacewingmux-Request-Id: " + id
                                                       + "\r\nLacewingmux-Not-Executed: 1\r\n"
                                                         "Content-Length: 0\r\n\r\n");
    });
    test.sendAndWaitForReplica(GatewayFixture::request("POST", "/once/x", "r1"));
    test.beginStop();
    test.fixture.loop.waitUntil([&] { return hasAnswer(test.caller); }, "the refusal");
    cr_assert(test.caller.received().startsWith("HTTP/1.1 503"));
    cr_assert(test.caller.received().contains("\"shuttingDown\""));
    cr_assert_eq(test.fixture.requestCount(), 1);
}

// Such a call was under way when the stop began.
Test(planned_stop, answers_a_call_that_outlasts_it)
{
    StoppingGateway test(milliseconds(600), [](const auto &, const auto &) {});
    test.sendAndWaitForReplica(GatewayFixture::request("POST", "/once/x", "r1"));
    test.beginStop();
    test.fixture.loop.waitUntil([&] { return hasAnswer(test.caller) || test.caller.isClosed(); },
                                "the end of the call");
    cr_assert(test.caller.received().startsWith("HTTP/1.1 504"), "%s",
              test.caller.received().constData());
    cr_assert(test.caller.received().contains("Connection: close\r\n"));
    test.fixture.loop.waitUntil([&] { return test.drained; }, "the end of the stop");
}

Test(planned_stop, answers_a_caller_whose_request_is_still_on_its_way)
{
    StoppingGateway test(milliseconds(600), [](const auto &, const auto &) {});
    QByteArray part = GatewayFixture::request("POST", "/once/x", "r1", {}, "a long body");
    part.chop(4);
    test.caller.send(part);
    test.fixture.loop.runFor(milliseconds(50));
    test.beginStop();
    test.fixture.loop.waitUntil([&] { return test.drained; }, "the end of the stop");
    cr_assert(test.caller.received().startsWith("HTTP/1.1 503"), "%s",
              test.caller.received().constData());
    cr_assert(test.caller.received().contains("Connection: close\r\n"));
}

Test(planned_stop, announces_the_close_from_its_beginning)
{
    StoppingGateway test(milliseconds(7000), [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    test.beginStop();
    test.caller.send(GatewayFixture::request("GET", "/safe/x", "r1"));
    test.fixture.loop.waitUntil([&] { return test.caller.received().endsWith("ran"); },
                                "the answer");
    cr_assert(test.caller.received().contains("Connection: close\r\n"));
}

Test(planned_stop, still_serves_new_connections_until_the_load_balancer_sends_none)
{
    StoppingGateway test(milliseconds(7000), [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    test.beginStop();
    test.fixture.loop.runFor(milliseconds(30));
    RawCaller newcomer(test.fixture.gateway->port());
    newcomer.send(GatewayFixture::request("GET", "/safe/x", "r1"));
    test.fixture.loop.waitUntil([&] { return newcomer.received().endsWith("ran"); }, "the answer");
    cr_assert(newcomer.received().contains("Connection: close\r\n"));
}

Test(planned_stop, answers_requests_that_had_arrived_before_it_announces_the_close)
{
    StoppingGateway test(milliseconds(7000), [](const HttpRequest &request, const auto &exchange) {
        exchange.writeAfter(milliseconds(250), GatewayFixture::answer(request, request.target));
    });
    test.caller.send(GatewayFixture::request("GET", "/safe/1", "r1")
                     + GatewayFixture::request("GET", "/safe/2", "r2"));
    test.fixture.loop.waitUntil([&] { return test.fixture.requestCount() == 1; }, "the request");
    test.beginStop();
    test.fixture.loop.waitUntil(
            [&] { return test.caller.isClosed() || test.caller.received().endsWith("/safe/2"); },
            "the second answer");
    const QByteArray &received = test.caller.received();
    cr_assert(received.endsWith("/safe/2"), "%s", received.constData());
    cr_assert_eq(received.count("Connection: close\r\n"), 1);
    cr_assert_gt(received.indexOf("Connection: close"), received.indexOf("/safe/1"));
}

Test(planned_stop, ends_before_its_process_is_killed_however_short_it_is)
{
    constexpr milliseconds untilKilled{800};
    StoppingGateway test(untilKilled * 7 / 8, [](const auto &, const auto &) {});
    test.sendAndWaitForReplica(GatewayFixture::request("POST", "/once/x", "r1"));
    const auto begun = std::chrono::steady_clock::now();
    test.beginStop();
    test.fixture.loop.waitUntil([&] { return test.drained; }, "the end of the stop");
    cr_assert_lt(std::chrono::steady_clock::now() - begun, untilKilled);
}

Test(planned_stop, is_not_prolonged_by_a_second_signal)
{
    StoppingGateway test(milliseconds(500), [](const auto &, const auto &) {});
    test.sendAndWaitForReplica(GatewayFixture::request("POST", "/once/x", "r1"));
    const auto begun = std::chrono::steady_clock::now();
    test.beginStop();
    test.fixture.loop.runFor(milliseconds(400));
    test.beginStop();
    test.fixture.loop.waitUntil([&] { return test.drained; }, "the end of the stop");
    cr_assert_lt(std::chrono::steady_clock::now() - begun, milliseconds(800));
}

Test(planned_stop, waits_for_a_caller_that_reads_slowly)
{
    const QByteArray body(qsizetype{3} * 1024 * 1024, 'x');
    StoppingGateway test(milliseconds(7000),
                         [&body](const HttpRequest &request, const Exchange &exchange) {
                             exchange.write(GatewayFixture::answer(request, body));
                         });
    QTcpSocket slow;
    slow.setProxy(QNetworkProxy::NoProxy);
    slow.setReadBufferSize(1024);
    slow.connectToHost(QHostAddress(QHostAddress::LocalHost), test.fixture.gateway->port());
    slow.write(GatewayFixture::request("GET", "/safe/x", "r1"));
    test.fixture.loop.waitUntil([&] { return test.fixture.requestCount() == 1; }, "the request");
    test.beginStop();
    test.fixture.loop.runFor(milliseconds(1500));
    slow.setReadBufferSize(0);
    QByteArray received;
    test.fixture.loop.waitUntil(
            [&] {
                received += slow.readAll();
                return slow.state() == QAbstractSocket::UnconnectedState
                       && slow.bytesAvailable() == 0;
            },
            "the end of the connection");
    cr_assert(received.endsWith("\r\n\r\n" + body), "%d bytes", static_cast<int>(received.size()));
    test.fixture.loop.waitUntil([&] { return test.drained; }, "the end of the stop");
}

#include "support/GatewayConfiguration.h"
#include "support/GatewayFixture.h"

#include <QTimer>

#include <criterion/criterion.h>

#include <chrono>
#include <memory>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

QByteArray head(const QByteArray &id, const QByteArray &contentType)
{
    return "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: " + id
           + "\r\nLacewingmux-Server-Stamp: stamp\r\nContent-Type: " + contentType + "\r\n\r\n";
}

QByteArray event(int id, const QByteArray &data)
{
    return "id: " + QByteArray::number(id) + "\ndata: " + data + "\n\n";
}

/** Writes the parts of an answer one after the other, and then closes the connection. */
ScriptedReplica::Handler writeInParts(const QList<QByteArray> &parts)
{
    return [parts](const HttpRequest &, const auto &exchange) {
        for (const QByteArray &part : parts)
            exchange.write(part);
        exchange.close();
    };
}

QByteArray responseTo(GatewayFixture &fixture, const QByteArray &path)
{
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", path, "r1"));
    fixture.loop.waitUntil(
            [&] {
                return caller.isClosed() || caller.received().endsWith("0\r\n\r\n")
                       || caller.received().endsWith("}") || caller.received().endsWith("body");
            },
            "the response");
    return caller.received();
}

} // namespace

// A replica that answers twice: nothing but the head of the second answer parts it from the first,
// whose end is that of the connection. Whether the first one was whole can't be known.
Test(unframed_answer, of_a_stream_breaks_off_before_the_head_of_another_answer)
{
    const QByteArray first = head("r1", "text/event-stream") + event(1, "a") + event(2, "b");
    const QByteArray second = head("r0", "text/event-stream") + event(3, "foreign");
    for (qsizetype cut = first.size() - 3; cut <= first.size() + second.size(); ++cut) {
        const QByteArray both = first + second;
        GatewayFixture fixture(1, writeInParts({both.left(cut), both.mid(cut)}));
        const QByteArray response = responseTo(fixture, "/stream/x");
        cr_assert(response.contains("data: b"));
        cr_assert(!response.contains("foreign"), "cut at %d", static_cast<int>(cut));
        cr_assert(!response.contains("r0"));
        cr_assert(!response.endsWith("0\r\n\r\n"), "it must not look complete");
    }
}

// The head of the second answer ends with an empty line, as an event does.
Test(unframed_answer, of_a_stream_that_breaks_off_within_an_event_is_not_joined_to_another_answer)
{
    const QByteArray second = head("r0", "text/event-stream") + event(1, "foreign");
    for (const char *cutEvent : {"id: 2\ndata: bro", "id: 2\ndata: bro\n", "id: 2\n", "i"}) {
        GatewayFixture fixture(
                1,
                writeInParts({head("r1", "text/event-stream") + event(1, "a") + cutEvent, second}));
        const QByteArray response = responseTo(fixture, "/stream/x");
        cr_assert(response.contains("data: a"));
        cr_assert(!response.contains("r0"), "%s", response.constData());
        cr_assert(!response.contains("foreign"));
        cr_assert(!response.endsWith("0\r\n\r\n"), "it broke off");
    }
}

Test(unframed_answer, of_a_stream_with_an_event_that_quotes_an_answer_is_passed_on)
{
    const QByteArray quoting =
            "id: 2\ndata: HTTP/1.1 200 OK\r\ndata: Lacewingmux-Request-Id: r0\r\n"
            "data: Lacewingmux-Server-Stamp: stamp\r\n\r\n";
    GatewayFixture fixture(
            1, writeInParts({head("r1", "text/event-stream") + event(1, "a") + quoting}));
    const QByteArray response = responseTo(fixture, "/stream/x");
    cr_assert(response.contains(quoting));
    cr_assert(response.endsWith("0\r\n\r\n"));
}

Test(unframed_answer, with_another_answer_in_its_body_is_not_passed_on)
{
    for (const char *path : {"/once/x", "/safe/x"}) {
        GatewayFixture fixture(2, writeInParts({head("r1", "text/plain") + "mine",
                                                head("r0", "text/plain") + "foreign body"}));
        const QByteArray response = responseTo(fixture, path);
        cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
        cr_assert(!response.contains("foreign"));
    }
}

// The replica, or its VM, ends while it writes the second answer.
Test(unframed_answer, with_the_cut_head_of_another_one_behind_it_is_not_passed_on)
{
    const QByteArray other = head("r0", "text/plain");
    for (const qsizetype bytes : {40, 41, 44, 60, 90}) {
        GatewayFixture fixture(
                1, writeInParts({head("r1", "text/plain") + "mine" + other.left(bytes)}));
        const QByteArray response = responseTo(fixture, "/once/x");
        cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
    }
}

Test(unframed_answer, that_quotes_a_status_line_is_passed_on)
{
    GatewayFixture fixture(1, writeInParts({head("r1", "text/plain")
                                            + "HTTP/1.1 200 OK\r\nServer: quoted\r\n\r\nbody"}));
    const QByteArray response = responseTo(fixture, "/once/x");
    cr_assert(response.startsWith("HTTP/1.1 200"));
    cr_assert(response.contains("Server: quoted"));
}

// A reset says that the answer broke off, also at the end of an event.
Test(unframed_answer, that_is_reset_is_not_passed_on_as_whole)
{
    GatewayFixture fixture(1, [](const HttpRequest &, const auto &exchange) {
        exchange.write(head("r1", "text/event-stream") + event(1, "a"));
        exchange.reset();
    });
    cr_assert(!responseTo(fixture, "/stream/x").endsWith("0\r\n\r\n"));
}

namespace {

constexpr milliseconds callersTime{400};

/** Occupies the thread, so that what becomes due meanwhile is handled in one turn of the loop. */
void blockUntil(std::chrono::steady_clock::time_point end)
{
    while (std::chrono::steady_clock::now() < end) { }
}

/** Writes the beginning of an answer, and closes the connection in order when the caller's time is
    up. */
ScriptedReplica::Handler expireAtDeadline(const QByteArray &beginning)
{
    return [beginning](const HttpRequest &, const ScriptedReplica::Exchange &exchange) {
        exchange.write(beginning);
        const auto arrival = std::chrono::steady_clock::now();
        QTimer::singleShot(callersTime - milliseconds(50), Qt::PreciseTimer, [exchange, arrival] {
            blockUntil(arrival + callersTime);
            exchange.close();
            blockUntil(arrival + callersTime + milliseconds(20));
        });
    };
}

} // namespace

// A replica that gives up a call at its deadline may close the connection in order.

Test(unframed_answer, of_a_stream_that_expires_at_the_replica_is_not_passed_on_as_whole)
{
    GatewayFixture fixture(1, expireAtDeadline(head("r1", "text/event-stream") + event(1, "a")));
    RawCaller caller(fixture.gateway->port());
    caller.send(
            GatewayFixture::request("POST", "/stream/x", "r1", "Lacewingmux-Deadline-Ms: 400\r\n"));
    fixture.loop.waitUntil(
            [&] { return caller.isClosed() || caller.received().endsWith("0\r\n\r\n"); },
            "the end of the stream");
    cr_assert(caller.received().contains("data: a"));
    cr_assert_not(caller.received().endsWith("0\r\n\r\n"), "it must not look complete");
}

Test(unframed_answer, that_expires_at_the_replica_is_not_passed_on_as_whole)
{
    GatewayFixture fixture(1, expireAtDeadline(head("r1", "text/plain") + "half of the bo"));
    RawCaller caller(fixture.gateway->port());
    caller.send(
            GatewayFixture::request("GET", "/safe/x", "r1", "Lacewingmux-Deadline-Ms: 400\r\n"));
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the answer");
    cr_assert(caller.received().startsWith("HTTP/1.1 504"));
}

// The end of a connection that is no longer acknowledged is not the end of what it carried.
Test(unframed_answer, whose_replica_is_out_of_reach_is_not_whole)
{
    for (const char *path : {"/stream/x", "/once/x"}) {
        GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
            const bool isStream = request.target == "/stream/x";
            exchange.write(isStream ? head("r1", "text/event-stream") + event(1, "a")
                                    : head("r1", "text/plain") + "body");
            QTimer::singleShot(milliseconds(100), [exchange] { exchange.dropIncoming(); });
        });
        GatewayConfiguration patient;
        for (GatewayRoute &route : patient.routes)
            route.timeout = milliseconds(10000);
        fixture.gateway->setRoutingTable(patient.table());
        RawCaller caller(fixture.gateway->port());
        caller.send(GatewayFixture::request("POST", path, "r1"));
        fixture.loop.waitUntil(
                [&] { return caller.isClosed() || caller.received().contains("HTTP/1.1 502"); },
                "the end");
        const QByteArray response = caller.received();
        cr_assert_not(response.endsWith("0\r\n\r\n") || response.endsWith("body"), "%s",
                      response.constData());
    }
}

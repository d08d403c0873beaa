#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

#include <memory>

using namespace lacewingmux;

namespace {

using Answer = std::function<QByteArray(const HttpRequest &)>;

/** Sends one event for the first request and resets the connection; the next requests get the
    given answer, and then an orderly close. */
ScriptedReplica::Handler resetThenAnswer(const Answer &answer)
{
    return [answer, requests = std::make_shared<int>(0)](const HttpRequest &request,
                                                         const auto &exchange) {
        if (++*requests == 1) {
            exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
            exchange.reset();
            return;
        }
        exchange.write(answer(request));
        exchange.close();
    };
}

/** Returns what the caller of a resumable stream receives until its connection ends. */
QByteArray receivedUntilClosed(GatewayFixture &fixture)
{
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resume/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the connection");
    return caller.received();
}

/** Answers every request with a whole stream of one event. */
ScriptedReplica::Handler streamOf(int eventId)
{
    return [eventId](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(eventId, "e")
                       + "0\r\n\r\n");
    };
}

/** Returns the response to a caller that has the events of a stream up to the twelfth. */
QByteArray responseToResumingCaller(GatewayFixture &fixture, const QByteArray &path)
{
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", path, "r1", "Last-Event-Id: 12\r\n"));
    fixture.loop.waitUntil(
            [&] {
                return caller.received().endsWith("0\r\n\r\n") || caller.received().endsWith("}");
            },
            "the response");
    return caller.received();
}

QByteArray failure(const HttpRequest &request, const QByteArray &status)
{
    return GatewayFixture::answer(request, "no").replace("200 OK", status);
}

} // namespace

// A stream that has begun can only be continued or broken off: a caller whose connection is left
// open waits for the rest until its own time is up.
Test(resumed_stream, is_broken_off_if_the_next_replica_does_not_resume_it)
{
    const std::vector<Answer> answers{
            [](const HttpRequest &request) { return failure(request, "404 Not Found"); },
            [](const HttpRequest &request) { return failure(request, "500 Server Error"); },
            [](const HttpRequest &request) { return GatewayFixture::answer(request, "plain"); }};
    for (const Answer &answer : answers) {
        GatewayFixture fixture(2, resetThenAnswer(answer));
        const QByteArray received = receivedUntilClosed(fixture);
        cr_assert(received.contains("data: a"));
        cr_assert(!received.endsWith("0\r\n\r\n"), "a broken stream must not look complete");
        cr_assert_eq(received.count("HTTP/1.1"), 1);
        cr_assert_eq(fixture.requestCount(), 2);
    }
}

// A replica that ignores where it is to resume, or that skips events, runs the request anew or
// leaves a hole: its events must not follow those that the caller has.
Test(resumed_stream, is_broken_off_if_the_next_replica_starts_elsewhere)
{
    for (const int firstId : {1, 2, 4}) {
        GatewayFixture fixture(2, [firstId, requests = std::make_shared<int>(0)](
                                          const HttpRequest &request, const auto &exchange) {
            const QByteArray head = GatewayFixture::streamHead(request);
            if (++*requests == 1) {
                exchange.write(head + GatewayFixture::event(1, "a")
                               + GatewayFixture::event(2, "b"));
                exchange.reset();
                return;
            }
            exchange.write(head + GatewayFixture::event(firstId, "other") + "0\r\n\r\n");
        });
        const QByteArray received = receivedUntilClosed(fixture);
        cr_assert(received.contains("data: b"));
        cr_assert(!received.contains("other"), "first id %d", firstId);
        cr_assert(!received.endsWith("0\r\n\r\n"));
    }
}

// Two answers in one stream: the second one begins again at the first event.
Test(resumed_stream, is_asked_for_when_the_ids_of_a_stream_start_anew)
{
    GatewayFixture fixture(2, [requests = std::make_shared<int>(0)](const HttpRequest &request,
                                                                    const auto &exchange) {
        const QByteArray head = GatewayFixture::streamHead(request);
        if (++*requests == 1)
            exchange.write(head + GatewayFixture::event(1, "a") + GatewayFixture::event(2, "b")
                           + GatewayFixture::event(1, "again"));
        else
            exchange.write(head + GatewayFixture::event(3, "c") + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resume/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
    cr_assert(!caller.received().contains("again"));
    cr_assert_eq(caller.received().count("data: "), 3);
}

// The caller has the events up to the id that it sends: a replica that begins before it would give
// it the same events twice.
Test(resumed_stream, of_a_caller_goes_on_after_the_callers_last_event)
{
    GatewayFixture fixture(2, [requests = std::make_shared<int>(0)](const HttpRequest &request,
                                                                    const auto &exchange) {
        const int first = ++*requests == 1 ? 1 : 5;
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(first, "a")
                       + GatewayFixture::event(first + 1, "b") + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resume/x", "r1", "Last-Event-Id: 4\r\n"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
    cr_assert_eq(caller.received().count("data: "), 2);
    cr_assert(caller.received().contains("id: 5\n"));
    cr_assert(!caller.received().contains("id: 1\n"));
}

// A caller that resumes a stream must not be sent events that it has already.
Test(resumed_stream, of_a_caller_does_not_begin_with_events_that_the_caller_has)
{
    for (const int firstId : {1, 12}) {
        GatewayFixture fixture(2, streamOf(firstId));
        const QByteArray response = responseToResumingCaller(fixture, "/resume/x");
        cr_assert(response.startsWith("HTTP/1.1 502"), "first id %d", firstId);
        cr_assert(!response.contains("data: e"));
        cr_assert_eq(fixture.requestCount(), 2);
    }
    GatewayFixture fixture(2, streamOf(13));
    cr_assert(responseToResumingCaller(fixture, "/resume/x").contains("data: e"));
}

Test(resumed_stream, is_not_expected_where_the_route_does_not_allow_it)
{
    GatewayFixture fixture(1, streamOf(1));
    cr_assert(responseToResumingCaller(fixture, "/stream/x").contains("data: e"));
}

// An event without an id behind the last one with an id would be sent twice.
Test(resumed_stream, is_broken_off_behind_an_event_without_an_id)
{
    GatewayFixture fixture(2, [requests = std::make_shared<int>(0)](const HttpRequest &request,
                                                                    const auto &exchange) {
        const QByteArray unnumbered = "d\r\ndata: plain\n\n\r\n";
        const QByteArray head = GatewayFixture::streamHead(request);
        if (++*requests == 1) {
            exchange.write(head + GatewayFixture::event(1, "a") + unnumbered);
            exchange.reset();
            return;
        }
        exchange.write(head + unnumbered + "0\r\n\r\n");
    });
    const QByteArray received = receivedUntilClosed(fixture);
    cr_assert_eq(received.count("data: plain"), 1);
    cr_assert(!received.endsWith("0\r\n\r\n"));
}

// A gap behind a single event, or behind the event that the caller names, was not noticed.
Test(resumed_stream, is_broken_off_if_the_next_replica_leaves_a_gap_behind_a_single_event)
{
    GatewayFixture fixture(2, resetThenAnswer([](const HttpRequest &request) {
                               return GatewayFixture::streamHead(request)
                                      + GatewayFixture::event(3, "c")
                                      + GatewayFixture::event(4, "d") + "0\r\n\r\n";
                           }));
    const QByteArray received = receivedUntilClosed(fixture);
    cr_assert(received.contains("data: a"));
    cr_assert(!received.contains("data: c"), "%s", received.constData());
    cr_assert(!received.endsWith("0\r\n\r\n"));
}

Test(resumed_stream, of_a_caller_is_asked_for_again_if_it_begins_behind_a_gap)
{
    GatewayFixture fixture(2, [requests = std::make_shared<int>(0)](const HttpRequest &request,
                                                                    const auto &exchange) {
        const int first = ++*requests == 1 ? 15 : 13;
        QByteArray text = GatewayFixture::streamHead(request);
        for (int id = first; id < 17; ++id)
            text += GatewayFixture::event(id, "e");
        exchange.write(text + "0\r\n\r\n");
    });
    const QByteArray response = responseToResumingCaller(fixture, "/resume/x");
    cr_assert(response.endsWith("0\r\n\r\n"), "%s", response.constData());
    cr_assert_eq(response.count("data: e"), 4, "%s", response.constData());
}

Test(resumed_stream, goes_on_where_ids_do_not_count_up_by_one)
{
    for (const bool arrivesAtOnce : {true, false}) {
        GatewayFixture fixture(2, [arrivesAtOnce](const HttpRequest &request,
                                                  const auto &exchange) {
            const QByteArray end = GatewayFixture::event(18, "e") + "0\r\n\r\n";
            exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(15, "e"));
            exchange.writeAfter(std::chrono::milliseconds(arrivesAtOnce ? 0 : 100), end);
        });
        const QByteArray response = responseToResumingCaller(fixture, "/resume/x");
        cr_assert_eq(response.count("data: e"), 2, "%s", response.constData());
    }
    GatewayFixture fixture(1, streamOf(15));
    const QByteArray response = responseToResumingCaller(fixture, "/resume/x");
    cr_assert_eq(response.count("data: e"), 1, "a single event: %s", response.constData());
}

#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/EventLines.h"
#include "lacewingmux_gateway/http/HttpText.h"

#include <criterion/criterion.h>

#include <cstdint>

using namespace lacewingmux;

namespace {

enum class Framing : std::uint8_t { Length, OneChunk, ChunkPerEvent, Close };

constexpr int eventCount = 4;

QByteArray event(int id, qsizetype dataBytes = 300)
{
    return "id: " + QByteArray::number(id) + "\ndata: " + QByteArray(dataBytes, 'o') + "\n\n";
}

/** Returns a whole stream of the request in the framing. */
QByteArray stream(const QByteArray &id, Framing framing, const QList<QByteArray> &events)
{
    QByteArray head = "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: " + id
                      + "\r\nLacewingmux-Server-Stamp: stamp-" + id
                      + "\r\nKeep-Alive: timeout=5\r\nContent-Type: text/event-stream\r\n";
    const QByteArray text = events.join();
    switch (framing) {
    case Framing::Length:
        return head + "Content-Length: " + QByteArray::number(text.size()) + "\r\n\r\n" + text;
    case Framing::OneChunk:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + encodeChunk(text) + lastChunk();
    case Framing::ChunkPerEvent:
        head += "Transfer-Encoding: chunked\r\n\r\n";
        for (const QByteArray &part : events)
            head += encodeChunk(part);
        return head + lastChunk();
    case Framing::Close:
        return head + "\r\n" + text;
    }
    return {};
}

QByteArray stream(const QByteArray &id, Framing framing)
{
    QList<QByteArray> events;
    for (int number = 1; number <= eventCount; ++number)
        events += event(number);
    return stream(id, framing, events);
}

QByteArray plainAnswer(const QByteArray &id, const QByteArray &body)
{
    HttpRequest request;
    request.fields.push_back({"Lacewingmux-Request-Id", id});
    return GatewayFixture::answer(request, body, "Keep-Alive: timeout=5\r\n");
}

/** Returns what the caller of request r2 gets when the replica writes the bytes for it, on a
    connection that has carried request r1, and then closes the connection. */
QByteArray responseTo(const QByteArray &path, const QByteArray &bytes)
{
    int requests = 0;
    GatewayFixture fixture(1, [&](const auto &, const auto &exchange) {
        if (++requests == 1) {
            exchange.write(plainAnswer("r1", "first"));
            return;
        }
        exchange.write(bytes);
        exchange.close();
    });
    RawCaller first(fixture.gateway->port());
    first.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return first.received().endsWith("first"); }, "the first answer");
    RawCaller second(fixture.gateway->port());
    second.send(GatewayFixture::request("POST", path, "r2"));
    fixture.loop.waitUntil(
            [&] {
                return second.isClosed() || second.received().endsWith("0\r\n\r\n")
                       || second.received().startsWith("HTTP/1.1 502");
            },
            "the end of the response");
    cr_assert_eq(requests, 2, "it must not run twice");
    cr_assert_eq(fixture.replicas.front()->connectionCount(), 1, "both came on one connection");
    return second.received();
}

} // namespace

// The decoder counts the beginning of a late answer as what a cut one lacks, and the empty line
// behind the late head ends the cut event.
Test(filled_stream, passes_on_nothing_of_a_late_answer)
{
    const QList<QByteArray> lateAnswers{plainAnswer("r1", "first"), stream("r1", Framing::Length),
                                        stream("r1", Framing::ChunkPerEvent)};
    for (const Framing framing :
         {Framing::Length, Framing::OneChunk, Framing::ChunkPerEvent, Framing::Close}) {
        const QByteArray own = stream("r2", framing);
        for (const QByteArray &late : lateAnswers) {
            for (qsizetype missing = 1; missing < 700; missing += 37) {
                const QByteArray response = responseTo("/stream/x", own.chopped(missing) + late);
                cr_assert_not(response.contains("r1"), "framing %d, %d bytes missing: %s",
                              static_cast<int>(framing), static_cast<int>(missing),
                              response.constData());
                cr_assert_leq(response.count("HTTP/1."), 1);
                cr_assert_not(response.endsWith("0\r\n\r\n"), "it broke off");
            }
        }
    }
}

// Between two events nothing is cut, but the rest of the stream is missing.
Test(filled_stream, that_is_cut_between_two_events_does_not_look_whole)
{
    const QByteArray two = stream("r2", Framing::Close, {event(1), event(2)});
    for (const QByteArray &late : {plainAnswer("r1", "first"), stream("r2", Framing::Close)}) {
        const QByteArray response = responseTo("/stream/x", two + late);
        cr_assert(response.contains(event(2)));
        cr_assert_eq(response.count("HTTP/1."), 1);
        cr_assert_not(response.endsWith("0\r\n\r\n"), "%s", response.constData());
    }
}

Test(filled_stream, is_resumed_behind_its_last_whole_event)
{
    GatewayFixture fixture(2, [](const HttpRequest &request, const auto &exchange) {
        const QByteArray id = fieldValue(request.fields, "Lacewingmux-Request-Id");
        if (fieldValue(request.fields, "Last-Event-Id") == "2") {
            exchange.write(stream(id, Framing::Length, {event(3), event(4)}));
            return;
        }
        const QByteArray cut =
                stream(id, Framing::Length).chopped(event(3).size() + event(4).size());
        exchange.write(cut + "id: 3\ndata: broken" + stream(id, Framing::Length));
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resume/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the stream");
    const QByteArray response = caller.received();
    for (int number = 1; number <= eventCount; ++number)
        cr_assert_eq(response.count(event(number)), 1);
    cr_assert_eq(response.count("HTTP/1."), 1);
    cr_assert_not(response.contains("broken"));
}

Test(filled_stream, passes_on_a_whole_one_that_quotes_a_head)
{
    const QByteArray quote = "id: 2\ndata: see HTTP/1.1 200 OK\ndata: Lacewingmux-Request-Id: r1\n"
                             "data: Lacewingmux-Server-Stamp: stamp\ndata:\ndata: first\n\n";
    const QByteArray ownFields = "x-version: HTTP/1.1\nid: 3\ndata: e\nx-note: n\n\n";
    for (const Framing framing :
         {Framing::Length, Framing::OneChunk, Framing::ChunkPerEvent, Framing::Close}) {
        const QByteArray response =
                responseTo("/stream/x", stream("r2", framing, {event(1), quote, ownFields}));
        cr_assert(response.contains(quote), "%s", response.constData());
        cr_assert(response.contains(ownFields));
        cr_assert(response.endsWith("0\r\n\r\n"));
    }
}

Test(event_lines, hold_a_response_head_only_where_one_was_joined_to_them)
{
    const QByteArray head = "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: r1\r\n\r\n";
    for (const char *cut : {"", "i", "id: 2", "id: 2\n", "id: 2\r\n", "id: 2\ndata: br", ": comm",
                            "event: e\n", "x-version: 3\n", "da", "data: HTTP/1.1 2"})
        cr_assert(holdsResponseHead(cut + head), "behind '%s'", cut);
    cr_assert(holdsResponseHead("id: 2\nHTTP/1.0 503 Busy\n\n"));
    for (const char *sound :
         {"data: HTTP/1.1 200 OK\ndata: Server: s\n\n", "data: HTTP/1.1 200 OK\r\nid: 2\r\n\r\n",
          "data: HTTP/1.1\nx-note: HTTP/1.\n\n", "x-note: 1\ndata: a\n\n", "HTTP/1.x\n\n",
          ": HTTP/1.1 200 OK\nretry: 5\nevent: e\ndata\n\n"})
        cr_assert_not(holdsResponseHead(sound), "%s", sound);
}

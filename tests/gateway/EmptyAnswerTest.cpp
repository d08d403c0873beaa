#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

#include <memory>

using namespace lacewingmux;

namespace {

using Answer = std::function<QByteArray(const HttpRequest &)>;

const QByteArray stamp = "\r\nLacewingmux-Server-Stamp: stamp\r\n";

QByteArray headWithoutLength(const HttpRequest &request, const QByteArray &contentType)
{
    return "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: "
           + fieldValue(request.fields, "Lacewingmux-Request-Id") + stamp
           + "Content-Type: " + contentType + "\r\n\r\n";
}

QByteArray streamHeadWithoutLength(const HttpRequest &request)
{
    return headWithoutLength(request, "text/event-stream");
}

QByteArray plainHeadWithoutLength(const HttpRequest &request)
{
    return headWithoutLength(request, "text/plain");
}

QByteArray chunkedStreamWithoutEvents(const HttpRequest &request)
{
    return GatewayFixture::streamHead(request) + "0\r\n\r\n";
}

/** Gives every request the answer, and then an orderly close. */
ScriptedReplica::Handler answerAndClose(const Answer &answer)
{
    return [answer](const HttpRequest &request, const auto &exchange) {
        exchange.write(answer(request));
        exchange.close();
    };
}

/** Gives the first request the answer, and the next ones a whole stream. */
ScriptedReplica::Handler answerThenStream(const Answer &answer)
{
    return [answer, requests = std::make_shared<int>(0)](const HttpRequest &request,
                                                         const auto &exchange) {
        if (++*requests == 1) {
            exchange.write(answer(request));
            exchange.close();
            return;
        }
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a")
                       + "0\r\n\r\n");
    };
}

/** Returns the response to a request; all of what came before the connection ended if none came. */
QByteArray responseTo(GatewayFixture &fixture, const QByteArray &path,
                      const QByteArray &fields = {})
{
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", path, "r1", fields));
    fixture.loop.waitUntil(
            [&] {
                return caller.isClosed() || caller.received().endsWith("0\r\n\r\n")
                       || caller.received().endsWith("}")
                       || caller.received().contains("Content-Length: 0\r\n\r\n");
            },
            "the response");
    return caller.received();
}

} // namespace

// A replica that ends its answer behind the head has broken it off: an empty body must not be
// passed on as the whole one.
Test(empty_answer, of_a_stream_is_not_passed_on_as_whole)
{
    for (const Answer &answer :
         {Answer(streamHeadWithoutLength), Answer(chunkedStreamWithoutEvents)}) {
        GatewayFixture fixture(2, answerAndClose(answer));
        const QByteArray response = responseTo(fixture, "/stream/x");
        cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
        cr_assert_eq(fixture.requestCount(), 1, "it must not run again");
    }
}

Test(empty_answer, of_a_resumable_stream_is_repeated_at_another_replica)
{
    for (const Answer &answer :
         {Answer(streamHeadWithoutLength), Answer(chunkedStreamWithoutEvents)}) {
        GatewayFixture fixture(2, answerThenStream(answer));
        const QByteArray response = responseTo(fixture, "/resume/x");
        cr_assert(response.contains("data: a"), "%s", response.constData());
        cr_assert_eq(fixture.requestCount(), 2);
    }
}

Test(empty_answer, without_a_length_is_not_passed_on_as_whole)
{
    GatewayFixture fixture(2, answerAndClose(plainHeadWithoutLength));
    cr_assert(responseTo(fixture, "/once/x").startsWith("HTTP/1.1 502"));
    cr_assert_eq(fixture.requestCount(), 1);
}

// The status of a failure says all that a caller needs, and a caller that is told 502 instead of
// 400 or 404 repeats a request that can't succeed.
Test(empty_answer, of_a_failure_is_passed_on)
{
    for (const char *path : {"/once/x", "/safe/x", "/stream/x", "/resume/x"}) {
        for (const char *status : {"400 Bad Request", "404 Not Found"}) {
            GatewayFixture fixture(2, answerAndClose([status](const HttpRequest &request) {
                                       return plainHeadWithoutLength(request).replace("200 OK",
                                                                                      status);
                                   }));
            const QByteArray response = responseTo(fixture, path);
            cr_assert(response.startsWith("HTTP/1.1 " + QByteArray(status)), "%s: %s", path,
                      response.constData());
            cr_assert_eq(fixture.requestCount(), 1);
        }
    }
}

Test(empty_answer, with_a_length_of_zero_is_passed_on)
{
    GatewayFixture fixture(1, answerAndClose([](const HttpRequest &request) {
                               return GatewayFixture::answer(request, {});
                           }));
    cr_assert(responseTo(fixture, "/once/x").startsWith("HTTP/1.1 200"));
}

// Nothing is left of a stream whose last event the caller already has.
Test(empty_answer, of_a_stream_that_its_caller_resumes_is_passed_on_if_it_has_an_end)
{
    GatewayFixture fixture(1, answerAndClose(chunkedStreamWithoutEvents));
    const QByteArray response = responseTo(fixture, "/resume/x", "Last-Event-Id: 4\r\n");
    cr_assert(response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"));
}

// A replica that stops in the middle of its head has not answered, wherever it stops.
Test(cut_head, is_never_passed_on_as_a_success)
{
    HttpRequest example;
    example.fields.push_back({"Lacewingmux-Request-Id", "r1"});
    const qsizetype headBytes = GatewayFixture::streamHead(example).size();
    for (qsizetype cut = 0; cut < headBytes; ++cut) {
        GatewayFixture fixture(1, answerAndClose([cut](const HttpRequest &request) {
                                   return GatewayFixture::streamHead(request).left(cut);
                               }));
        const QByteArray response = responseTo(fixture, "/stream/x");
        cr_assert(response.startsWith("HTTP/1.1 502"), "cut at %d", static_cast<int>(cut));
    }
}

Test(cut_first_event, of_a_stream_without_a_length_is_not_joined_either)
{
    GatewayFixture fixture(2, answerThenStream([](const HttpRequest &request) {
                               return streamHeadWithoutLength(request) + "id: 1\ndata: broken";
                           }));
    const QByteArray response = responseTo(fixture, "/resume/x");
    cr_assert(!response.contains("broken"));
    cr_assert(response.contains("data: a"));
}

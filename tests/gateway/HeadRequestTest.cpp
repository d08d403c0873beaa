#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

/** Answers HEAD requests with the head alone of an event stream, framed by the given field. */
ScriptedReplica::Handler answerHead(const QByteArray &framing)
{
    return [framing](const HttpRequest &, const auto &exchange) {
        exchange.write("HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: r1\r\n"
                       "Lacewingmux-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
                       + framing + "\r\n");
    };
}

} // namespace

// A response to HEAD has no events, whatever its fields say, and nothing may follow its head.
Test(head_request, of_a_stream_is_answered_with_the_head_alone)
{
    for (const char *path : {"/stream/x", "/resume/x", "/safe/x"}) {
        for (const char *framing :
             {"", "Content-Length: 14\r\n", "Transfer-Encoding: chunked\r\n"}) {
            GatewayFixture fixture(2, answerHead(framing));
            RawCaller caller(fixture.gateway->port());
            caller.send(GatewayFixture::request("HEAD", path, "r1"));
            fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); },
                                   "the response");
            fixture.loop.runFor(std::chrono::milliseconds(20));
            cr_assert(caller.received().startsWith("HTTP/1.1 200"), "%s, %s", path, framing);
            cr_assert_eq(caller.received().indexOf("\r\n\r\n"), caller.received().size() - 4);
            cr_assert_eq(fixture.requestCount(), 1);
        }
    }
}

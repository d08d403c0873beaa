#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/HttpText.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against two errors that operators of similar systems have seen: slow but sound streams
// that are cut, and stalled ones that never end because a byte arrives now and then.

Test(stream_pace, a_slow_but_sound_stream_is_not_cut)
{
    GatewayFixture fixture(2, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
        // Longer than the time after which a silent replica is probed.
        exchange.writeAfter(milliseconds(700), GatewayFixture::event(2, "b"));
        exchange.writeAfter(milliseconds(1400), GatewayFixture::event(3, "c") + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "its end");
    cr_assert(caller.received().contains("data: c"));
    cr_assert_eq(fixture.requestCount(), 1);
}

Test(stream_pace, a_stream_that_only_trickles_ends_when_its_time_is_up)
{
    for (const bool wholeEvents : {true, false}) {
        GatewayFixture fixture(1, [wholeEvents](const HttpRequest &request, const auto &exchange) {
            exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
            for (int number = 1; number < 200; ++number)
                exchange.writeAfter(milliseconds(50 * number),
                                    wholeEvents ? GatewayFixture::event(number + 1, "x")
                                                : encodeChunk("y"));
        });
        RawCaller caller(fixture.gateway->port());
        caller.send(GatewayFixture::request("POST", "/stream/x", "r1",
                                            "Lacewingmux-Deadline-Ms: 600\r\n"));
        fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the stream");
        cr_assert_not(caller.received().endsWith("0\r\n\r\n"), "it must not look complete");
    }
}

Test(stream_pace, a_caller_that_sends_its_request_byte_by_byte_is_cut)
{
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    RawCaller caller(fixture.gateway->port());
    const QByteArray head = GatewayFixture::request("POST", "/safe/x", "r1");
    for (int number = 0; number < 80 && !caller.isClosed(); ++number) {
        caller.send(head.mid(number, 1));
        fixture.loop.runFor(milliseconds(50));
    }
    fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the connection");
    cr_assert(caller.received().startsWith("HTTP/1.1 408"));
    cr_assert_eq(fixture.requestCount(), 0);
}

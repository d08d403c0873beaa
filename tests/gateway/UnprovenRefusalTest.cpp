#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

const QByteArray requestFields =
        "Lacewingmux-Request-Id: r1\r\nLacewingmux-Server-Stamp: stamp\r\n";

/** Refuses every request with the status, without stating that the request did not run. */
ScriptedReplica::Handler refuseWithoutStatement(const QByteArray &status)
{
    return [status](const HttpRequest &, const auto &exchange) {
        exchange.write("HTTP/1.1 " + status + "\r\n" + requestFields
                       + "Content-Length: 4\r\n\r\nbusy");
    };
}

/** Answers every request with a stream of one event, and states that the request did not run. */
ScriptedReplica::Handler streamAndDenyRun()
{
    return [](const HttpRequest &request, const auto &exchange) {
        const QByteArray head = GatewayFixture::streamHead(request);
        exchange.write(head.left(head.size() - 2) + "Lacewingmux-Not-Executed: 1\r\n\r\n"
                       + GatewayFixture::event(1, "a") + "0\r\n\r\n");
    };
}

/** Returns the response to a request, up to the end of its head. */
QByteArray responseTo(GatewayFixture &fixture, const QByteArray &path)
{
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", path, "r1"));
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the response");
    return caller.received();
}

} // namespace

// Guards against callers being told "not run" by the status of a replica that ran the request.
Test(unproven_refusal, is_not_passed_on_as_a_promise_that_the_call_did_not_run)
{
    for (const char *path : {"/once/x", "/stream/x", "/turn/x", "/safe/x", "/resume/x"}) {
        for (const char *status : {"408 Timeout", "429 Busy", "503 Full"}) {
            GatewayFixture fixture(2, refuseWithoutStatement(status));
            const QByteArray response = responseTo(fixture, path);
            cr_assert(response.startsWith("HTTP/1.1 502"), "%s: %s", path, response.constData());
            cr_assert(!response.contains("Lacewingmux-Server-Stamp"));
        }
    }
}

Test(unproven_refusal, does_not_send_a_single_run_again)
{
    for (const char *path : {"/once/x", "/stream/x", "/turn/x"}) {
        for (const char *status : {"408 Timeout", "429 Busy", "503 Full"}) {
            GatewayFixture fixture(3, refuseWithoutStatement(status));
            cr_assert(!responseTo(fixture, path).isEmpty());
            cr_assert_eq(fixture.requestCount(), 1, "%s", path);
        }
    }
}

// A success that denies its run contradicts itself. The request may have run, so that one which may
// run once is not sent again, and the caller of a stream is not left without its end.
Test(unproven_refusal, with_a_success_counts_as_a_run)
{
    for (const char *path : {"/once/x", "/stream/x", "/turn/x"}) {
        GatewayFixture fixture(3, streamAndDenyRun());
        cr_assert(responseTo(fixture, path).startsWith("HTTP/1.1 502"), "%s", path);
        fixture.loop.runFor(std::chrono::milliseconds(100));
        cr_assert_eq(fixture.requestCount(), 1, "%s", path);
    }
}

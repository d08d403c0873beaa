#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

#include <memory>

using namespace lacewingmux;

// The next turn's prompt would lack the events that the caller had before it resumed the stream.
Test(resumed_turn, is_not_stored_without_the_events_before_the_resumption)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(2, "second")
                       + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resumable-turn/x", "r2", "Last-Event-Id: 1\r\n"));
    fixture.loop.runFor(std::chrono::milliseconds(200));
    cr_assert(fixture.turnStore.storedOutput != "second\n");
}

Test(resumed_turn, is_refused_before_it_runs)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(2, "second")
                       + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resumable-turn/x", "r2", "Last-Event-Id: 1\r\n"));
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the refusal");
    cr_assert(caller.received().startsWith("HTTP/1.1 503"));
    cr_assert_eq(fixture.requestCount(), 0);
    cr_assert_eq(fixture.quota.taken, 0);
    cr_assert(fixture.turnStore.openedTurns.empty());
}

Test(resumed_turn, is_stored_whole_if_this_vm_resumed_it)
{
    GatewayFixture fixture(2, [requests = std::make_shared<int>(0)](const HttpRequest &request,
                                                                    const auto &exchange) {
        const QByteArray head = GatewayFixture::streamHead(request);
        if (++*requests == 1) {
            exchange.write(head + GatewayFixture::event(1, "first"));
            exchange.reset();
            return;
        }
        exchange.write(head + GatewayFixture::event(2, "second") + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resumable-turn/x", "r2"));
    fixture.loop.waitUntil([&] { return static_cast<bool>(fixture.turnStore.pendingStore); },
                           "the turn to be stored");
    cr_assert(fixture.turnStore.storedOutput == "first\nsecond\n");
}

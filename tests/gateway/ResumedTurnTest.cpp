#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

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

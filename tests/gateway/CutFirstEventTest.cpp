#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

#include <memory>

using namespace lacewingmux;

namespace {

/** Breaks the stream of the first request off within its first event, and answers all others
    whole. */
ScriptedReplica::Handler cutFirstEventOnce(bool byReset)
{
    return [byReset, requests = std::make_shared<int>(0)](const HttpRequest &request,
                                                          const auto &exchange) {
        if (++*requests > 1) {
            exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "whole")
                           + "0\r\n\r\n");
            return;
        }
        exchange.write(GatewayFixture::streamHead(request) + "12\r\nid: 1\ndata: broken\r\n");
        if (byReset)
            exchange.reset();
        else
            exchange.close();
    };
}

/** Sends a request for a stream that may be resumed, and returns what the caller receives. */
QByteArray received(GatewayFixture &fixture)
{
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resume/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
    return caller.received();
}

} // namespace

// Guards against a body that joins bytes of two replicas, when the first one crashed within the
// first event of its stream.
Test(cut_first_event, is_not_joined_to_the_stream_of_the_next_replica)
{
    for (const bool byReset : {true, false}) {
        GatewayFixture fixture(2, cutFirstEventOnce(byReset));
        const QByteArray response = received(fixture);
        cr_assert(!response.contains("broken"), "reset: %d", byReset);
        cr_assert(response.contains("\r\n\r\n" + GatewayFixture::event(1, "whole")));
    }
}

Test(cut_first_event, is_not_part_of_the_turn_that_is_stored)
{
    GatewayFixture fixture(2, cutFirstEventOnce(true));
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resumable-turn/x", "r1"));
    fixture.loop.waitUntil([&] { return static_cast<bool>(fixture.turnStore.pendingStore); },
                           "the turn to be kept");
    cr_assert(fixture.turnStore.storedOutput == "whole\n");
}

#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

// Every replica refuses a request without an id, so that placing it again only delays the answer.
Test(refused_request, without_an_id_is_not_sent_until_its_time_is_up)
{
    GatewayFixture fixture(2, [](const HttpRequest &, const auto &exchange) {
        exchange.write("HTTP/1.1 400 Bad Request\r\nLacewingmux-Not-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token good\r\n\r\n");
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the response");
    cr_assert(caller.received().startsWith("HTTP/1.1 400"), "%s after %d sends",
              caller.received().left(12).constData(), fixture.requestCount());
    cr_assert_eq(fixture.requestCount(), 1);
}

#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

const QByteArray turnFields = "Lacewingmux-Program-Id: p\r\nLacewingmux-Session-Id: s\r\n"
                              "Lacewingmux-Token-Budget: 1000\r\n"
                              "Lacewingmux-Token-Usage: 100,280\r\n";

} // namespace

Test(stream_forwarding, forwards_events_as_they_arrive)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
        exchange.writeAfter(milliseconds(200), GatewayFixture::event(2, "b") + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().contains("data: a"); }, "an event");
    cr_assert(!caller.received().contains("data: b"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
}

Test(stream_forwarding, a_truncated_stream_does_not_appear_complete)
{
    GatewayFixture fixture(2, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
        exchange.reset();
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the connection");
    cr_assert(!caller.received().endsWith("0\r\n\r\n"));
    cr_assert_eq(fixture.requestCount(), 1, "it must not run again");
}

Test(stream_forwarding, a_resumable_stream_resumes_on_another_replica)
{
    int requests = 0;
    GatewayFixture fixture(2, [&requests](const HttpRequest &request, const auto &exchange) {
        if (++requests == 1) {
            exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a")
                           + "20\r\nid: 2\ndata: brok");
            exchange.reset();
            return;
        }
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(2, "b")
                       + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resume/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
    cr_assert(!caller.received().contains("brok"));
    cr_assert_eq(caller.received().count("data: "), 2);
    cr_assert_eq(caller.received().count("HTTP/1.1"), 1);
    QByteArray resumedAfter;
    for (const auto &replica : fixture.replicas) {
        for (const HttpRequest &request : replica->requests())
            resumedAfter += fieldValue(request.fields, "Last-Event-Id");
    }
    cr_assert(resumedAfter == "1");
}

Test(stream_forwarding, a_turn_gets_its_history_and_ends_once_it_is_stored)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "out")
                       + "0\r\n\r\n");
    });
    fixture.turnStore.admission.history = "earlier";
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/turn/x", "r2",
                                        turnFields + "Lacewingmux-Previous-Turn: r1\r\n", "new"));
    fixture.loop.waitUntil([&] { return static_cast<bool>(fixture.turnStore.pendingStore); },
                           "the turn to be kept");
    cr_assert(fixture.replicas[0]->requests().at(0).body == "earliernew");
    cr_assert(fieldValue(fixture.replicas[0]->requests().at(0).fields, "Lacewingmux-Previous-Turn")
                      .isNull());
    cr_assert(fixture.turnStore.storedInput == "new");
    cr_assert(fixture.turnStore.storedOutput == "out\n");
    fixture.loop.runFor(milliseconds(100));
    cr_assert(!caller.received().endsWith("0\r\n\r\n"), "it must not end before it is kept");
    fixture.turnStore.pendingStore(true);
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
}

Test(stream_forwarding, a_turn_that_could_not_be_stored_does_not_appear_complete)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "out")
                       + "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/turn/x", "r1", turnFields, "new"));
    fixture.loop.waitUntil([&] { return static_cast<bool>(fixture.turnStore.pendingStore); },
                           "the turn to be kept");
    fixture.turnStore.pendingStore(false);
    fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the connection");
    cr_assert(!caller.received().endsWith("0\r\n\r\n"));
}

Test(stream_forwarding, an_exhausted_budget_sends_nothing_and_refunds_the_quota)
{
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    fixture.turnStore.admission.outcome = TurnOutcome::BudgetExhausted;
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/turn/x", "r1", turnFields, "new"));
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the refusal");
    cr_assert(caller.received().startsWith("HTTP/1.1 402"));
    cr_assert_eq(fixture.requestCount(), 0);
    cr_assert_eq(fixture.quota.refunded, 1);
    cr_assert_eq(fixture.turnStore.settlements.at(0), 0);
}

Test(stream_forwarding, settles_a_truncated_turn_with_the_tokens_delivered)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a")
                       + GatewayFixture::event(2, "b"));
        exchange.reset();
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/turn/x", "r1", turnFields, "new"));
    fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the connection");
    cr_assert_eq(fixture.turnStore.settlements.at(0), 28);
}

Test(stream_forwarding, returns_503_when_a_turn_lookup_is_uncertain)
{
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    fixture.turnStore.admission = {TurnOutcome::Unavailable, {}, milliseconds(250)};
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/turn/x", "r2",
                                        turnFields + "Lacewingmux-Previous-Turn: r1\r\n", "new"));
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the refusal");
    cr_assert(caller.received().startsWith("HTTP/1.1 503"));
    cr_assert(caller.received().contains("Retry-After: 0.25\r\n"));
}

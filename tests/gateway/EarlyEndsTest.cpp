#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

/** Returns how many calls ended early for the reason. */
double earlyEnds(const GatewayFixture &fixture, const QString &reason)
{
    const MetricsSnapshot snapshot = fixture.metrics.snapshot();
    double count = 0;
    const auto family = snapshot.counters.find(QStringLiteral("lacewingmux_early_ends_total"));
    if (family == snapshot.counters.cend())
        return 0;
    for (const auto &series : family->second) {
        const bool matches = std::ranges::any_of(
                series.labels, [&reason](const auto &label) { return label.value == reason; });
        count += matches ? series.value : 0;
    }
    return count;
}

} // namespace

// An answer that ends early must be counted with its cause, also when the process ends with it.

Test(early_ends, a_stream_that_its_replica_breaks_off_is_counted_with_the_reason)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
        exchange.reset();
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the stream");
    cr_assert_eq(earlyEnds(fixture, QStringLiteral("the replica closed the connection")), 1);
}

Test(early_ends, a_request_that_no_replica_was_sent_is_not_counted)
{
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    fixture.quota.open = false;
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the refusal");
    cr_assert_eq(earlyEnds(fixture, QStringLiteral("the team is over its rate and burst")), 0);
}

Test(early_ends, a_call_that_ends_with_its_gateway_is_counted)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().contains("data: a"); }, "the event");
    fixture.gateway.reset();
    cr_assert_eq(earlyEnds(fixture, QStringLiteral("the VM has stopped")), 1);
}

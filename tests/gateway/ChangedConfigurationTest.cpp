#include "support/GatewayConfiguration.h"
#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/HttpText.h"

#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

using Exchange = ScriptedReplica::Exchange;

/** A gateway with limits that the test changes, and one caller whose connection is kept. */
class ChangingLimits
{
public:
    explicit ChangingLimits(const HttpLimits &first)
        : fixture(1, [](const HttpRequest &request, const Exchange &exchange) {
            exchange.write(GatewayFixture::answer(request, "own"));
        })
    {
        this->change(first);
        this->caller.emplace(this->fixture.gateway->port());
        this->send(GatewayFixture::request("POST", "/safe/x", "r1"));
        cr_assert(this->response().endsWith("own"));
    }

    void change(const HttpLimits &limits)
    {
        GatewayConfiguration next;
        next.limits = limits;
        this->fixture.gateway->setRoutingTable(next.table());
    }

    /** Sends bytes on the kept connection. */
    void send(const QByteArray &bytes)
    {
        this->caller->forget();
        this->caller->send(bytes);
    }

    /** Returns what the caller gets, up to the end of a response or of the connection. */
    QByteArray response()
    {
        this->fixture.loop.waitUntil(
                [&] {
                    return this->caller->isClosed()
                           || this->caller->received().contains("\r\n\r\n");
                },
                "the response");
        return this->caller->received();
    }

    GatewayFixture fixture;
    std::optional<RawCaller> caller;
};

HttpLimits withTimes(milliseconds headerTimeout, milliseconds idleTimeout)
{
    HttpLimits limits;
    limits.headerTimeout = headerTimeout;
    limits.idleTimeout = idleTimeout;
    return limits;
}

HttpLimits withSizes(std::uint32_t headerBytes, std::uint64_t bodyBytes)
{
    HttpLimits limits;
    limits.headerBytes = headerBytes;
    limits.bodyBytes = bodyBytes;
    return limits;
}

/** Returns a request with a body of so many bytes, behind a head that is longer by as many. */
QByteArray largeRequest(const QByteArray &id, qsizetype extraHeadBytes, qsizetype bodyBytes)
{
    return GatewayFixture::request("POST", "/safe/x", id,
                                   "X: " + QByteArray(extraHeadBytes, 'x') + "\r\n",
                                   QByteArray(bodyBytes, 'x'));
}

} // namespace

// A caller that relied on the limit in force met a close, as its connection had an older limit.
Test(changed_limits, a_longer_idle_time_reaches_connections_that_are_open)
{
    ChangingLimits test(withTimes(milliseconds(3000), milliseconds(500)));
    test.change(withTimes(milliseconds(3000), milliseconds(5000)));
    test.fixture.loop.runFor(milliseconds(1200));
    cr_assert_not(test.caller->isClosed());
    test.send(GatewayFixture::request("POST", "/safe/x", "r2"));
    cr_assert(test.response().endsWith("own"));
}

Test(changed_limits, a_shorter_idle_time_closes_no_connection_at_once)
{
    ChangingLimits test(withTimes(milliseconds(3000), milliseconds(5000)));
    test.fixture.loop.runFor(milliseconds(600));
    test.change(withTimes(milliseconds(3000), milliseconds(500)));
    test.fixture.loop.runFor(milliseconds(600));
    test.send(GatewayFixture::request("POST", "/safe/x", "r2"));
    cr_assert(test.response().endsWith("own"));
    test.fixture.loop.waitUntil([&] { return test.caller->isClosed(); },
                                "the end under the shorter limit");
}

// A request that only an older version forbids was refused with 413 or 431.
Test(changed_limits, larger_sizes_reach_connections_that_are_open)
{
    ChangingLimits test(withSizes(1000, 1000));
    test.change(withSizes(8000, 8000));
    test.send(largeRequest("r2", 2000, 2000));
    const QByteArray response = test.response();
    cr_assert(response.endsWith("own"), "%s", response.constData());
}

Test(changed_limits, larger_sizes_hold_for_a_request_whose_head_is_being_received)
{
    ChangingLimits test(withSizes(1000, 1000));
    const QByteArray request = largeRequest("r2", 2000, 2000);
    test.send(request.left(100));
    test.fixture.loop.runFor(milliseconds(50));
    test.change(withSizes(8000, 8000));
    test.caller->send(request.mid(100));
    const QByteArray response = test.response();
    cr_assert(response.endsWith("own"), "%s", response.constData());
}

Test(changed_limits, smaller_sizes_end_no_request_that_is_being_received)
{
    for (const qsizetype received : {100, 2300}) {
        ChangingLimits test(withSizes(8000, 8000));
        const QByteArray request = largeRequest("r2", 2000, 2000);
        test.send(request.left(received));
        test.fixture.loop.runFor(milliseconds(50));
        test.change(withSizes(1000, 1000));
        test.change(withSizes(1500, 1500));
        test.caller->send(request.mid(received));
        QByteArray response = test.response();
        cr_assert(response.endsWith("own"), "%s", response.constData());
        test.send(request);
        response = test.response();
        cr_assert(response.startsWith("HTTP/1.1 431"), "the next one: %s", response.constData());
    }
}

Test(changed_limits, a_shorter_time_ends_no_request_that_is_being_received)
{
    ChangingLimits test(withTimes(milliseconds(4000), milliseconds(4000)));
    const QByteArray request = GatewayFixture::request("POST", "/safe/x", "r2");
    test.send(request.left(20));
    test.fixture.loop.runFor(milliseconds(50));
    test.change(withTimes(milliseconds(200), milliseconds(200)));
    test.fixture.loop.runFor(milliseconds(1000));
    test.caller->send(request.mid(20));
    const QByteArray response = test.response();
    cr_assert(response.endsWith("own"), "%s", response.constData());
}

// What a call under way needs must not go with the version that it began under.
Test(changed_configuration, ends_no_call_under_way)
{
    std::vector<Exchange> exchanges;
    std::vector<HttpRequest> requests;
    GatewayFixture fixture(1, [&](const HttpRequest &request, const Exchange &exchange) {
        requests.push_back(request);
        exchanges.push_back(exchange);
        if (request.target == "/stream/x")
            exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
    });
    RawCaller stream(fixture.gateway->port());
    RawCaller call(fixture.gateway->port());
    stream.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    call.send(GatewayFixture::request("POST", "/once/x", "r2"));
    fixture.loop.waitUntil(
            [&] { return exchanges.size() == 2 && stream.received().contains("data: a"); },
            "the calls at the replica");
    for (std::uint64_t version = 2; version < 6; ++version) {
        GatewayConfiguration next;
        next.version = version;
        next.limits = withTimes(milliseconds(1), milliseconds(1));
        next.services.clear();
        next.keys.clear();
        for (GatewayRoute &route : next.routes) {
            route.targets = {{"other", 1}};
            route.timeout = milliseconds(50);
        }
        if (version % 2 == 0)
            next.routes.clear();
        fixture.gateway->setRoutingTable(next.table());
        fixture.loop.runFor(milliseconds(100));
    }
    fixture.loop.runFor(milliseconds(300));
    for (std::size_t number = 0; number < exchanges.size(); ++number) {
        if (requests[number].target == "/stream/x")
            exchanges[number].write(GatewayFixture::event(2, "b") + lastChunk());
        else
            exchanges[number].write(GatewayFixture::answer(requests[number], "own"));
    }
    fixture.loop.waitUntil(
            [&] {
                return (call.isClosed() || call.received().contains("\r\n\r\n"))
                       && (stream.isClosed() || stream.received().endsWith(lastChunk()));
            },
            "the ends");
    cr_assert(call.received().endsWith("own"), "%s", call.received().constData());
    cr_assert(stream.received().endsWith(lastChunk()), "%s", stream.received().constData());
}

// A probe of a replica that was no longer registered was taken for the end of its calls.
Test(changed_configuration, ends_no_call_whose_replica_is_no_longer_registered)
{
    for (const char *path : {"/once/x", "/stream/x"}) {
        GatewayFixture fixture(1, [](const HttpRequest &request, const Exchange &exchange) {
            const milliseconds longerThanAProbe(1200);
            if (request.target == "/once/x") {
                exchange.writeAfter(longerThanAProbe, GatewayFixture::answer(request, "own"));
                return;
            }
            exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
            exchange.writeAfter(longerThanAProbe, GatewayFixture::event(2, "own") + lastChunk());
        });
        RawCaller caller(fixture.gateway->port());
        caller.send(GatewayFixture::request("POST", path, "r1"));
        fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; },
                               "the request at the replica");
        fixture.gateway->setReplicas({});
        fixture.loop.waitUntil(
                [&] {
                    return caller.isClosed() || caller.received().contains("own")
                           || caller.received().endsWith("}");
                },
                "the end of the answer");
        cr_assert(caller.received().contains("own"), "%s: %s", path, caller.received().constData());
    }
}

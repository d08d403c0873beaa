#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

bool hasAnswer(const RawCaller &caller)
{
    return caller.received().contains("\r\n\r\n");
}

} // namespace

Test(forwarding, forwards_a_request_and_its_response)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "whole"));
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/safe/x?q=1", "r1",
                                        "Lacewingmux-Tenant: forged\r\n"
                                        "Lacewingmux-Hold: h\r\nLacewingmux-Deadline-Ms: 900\r\n",
                                        "body"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("whole"); }, "the answer");
    cr_assert(caller.received().startsWith("HTTP/1.1 200 OK\r\n"));
    cr_assert(caller.received().contains("Lacewingmux-Server-Stamp: stamp\r\n"));
    const HttpRequest &sent = fixture.replicas[0]->requests().at(0);
    cr_assert(sent.target == "/safe/x?q=1");
    cr_assert(sent.body == "body");
    cr_assert(fieldValue(sent.fields, "Lacewingmux-Tenant") == "team");
    cr_assert(fieldValue(sent.fields, "Lacewingmux-Expect-Instance") == "i-0");
    cr_assert(fieldValue(sent.fields, "Authorization").isNull(), "the key must not be passed on");
    cr_assert(fieldValue(sent.fields, "Lacewingmux-Hold").isNull());
    cr_assert_leq(fieldValue(sent.fields, "Lacewingmux-Deadline-Ms").toInt(), 900);
}

Test(forwarding, refuses_unknown_keys_and_routes)
{
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    RawCaller caller(fixture.gateway->port());
    caller.send("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token bad\r\n\r\n");
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the refusal");
    cr_assert(caller.received().startsWith("HTTP/1.1 401"));
    caller.forget();
    caller.send("GET /none HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the refusal");
    cr_assert(caller.received().startsWith("HTTP/1.1 404"));
    cr_assert_eq(fixture.requestCount(), 0);
}

Test(forwarding, returns_503_until_a_configuration_is_known)
{
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    fixture.gateway->setRoutingTable(nullptr);
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("GET", "/safe/x", "r1"));
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the refusal");
    cr_assert(caller.received().startsWith("HTTP/1.1 503"));
    cr_assert(caller.received().contains("Retry-After: 0.3\r\n"));
}

Test(forwarding, returns_retry_after_to_a_team_over_its_rate)
{
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    fixture.quota.open = false;
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("GET", "/safe/x", "r1"));
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the refusal");
    cr_assert(caller.received().startsWith("HTTP/1.1 429"));
    cr_assert(caller.received().contains("Retry-After: 0.7\r\n"));
    cr_assert_eq(fixture.requestCount(), 0);
}

Test(forwarding, retries_on_another_replica_after_not_executed)
{
    int requests = 0;
    GatewayFixture fixture(2, [&requests](const HttpRequest &request, const auto &exchange) {
        if (++requests == 1)
            exchange.write("HTTP/1.1 503 Full\r\nLacewingmux-Request-Id: r1\r\n"
                           "Lacewingmux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        else
            exchange.write(GatewayFixture::answer(request, "ran"));
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("ran"); }, "the answer");
    cr_assert_eq(fixture.requestCount(), 2);
    cr_assert_neq(fixture.replicas[0]->requests().size(), 2);
}

Test(forwarding, never_sends_a_single_run_again_once_it_may_have_run)
{
    GatewayFixture fixture(3, [](const auto &, const auto &exchange) { exchange.reset(); });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the failure");
    cr_assert(caller.received().startsWith("HTTP/1.1 502"), "nothing is promised");
    fixture.loop.runFor(milliseconds(100));
    cr_assert_eq(fixture.requestCount(), 1);
}

Test(forwarding, sends_an_idempotent_request_again_as_often_as_its_route_allows)
{
    GatewayFixture fixture(3, [](const auto &, const auto &exchange) { exchange.reset(); });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("GET", "/safe/x", "r1"));
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the failure");
    cr_assert_eq(fixture.requestCount(), 2);
}

Test(forwarding, retries_on_another_replica_when_connecting_fails)
{
    GatewayFixture fixture(2, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    ReplicaInstance gone;
    gone.id = "gone";
    gone.service = "service";
    gone.zone = "a";
    gone.address = QHostAddress(QHostAddress::LocalHost);
    gone.port = 1; // no server listens on this port
    ReplicaInstance alive = gone;
    alive.id = "i-0";
    alive.zone = "b";
    alive.port = fixture.replicas[0]->port();
    fixture.gateway->setReplicas({gone, alive});
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("ran"); }, "the answer");
    cr_assert_eq(fixture.requestCount(), 1);
}

Test(forwarding, discards_a_late_response_to_another_request)
{
    int requests = 0;
    GatewayFixture fixture(1, [&requests](const HttpRequest &request, const auto &exchange) {
        QByteArray text = GatewayFixture::answer(request, "right");
        if (++requests == 2) {
            HttpRequest first = request;
            for (HttpField &field : first.fields) {
                if (sameFieldName(field.name, "Lacewingmux-Request-Id"))
                    field.value = "r1";
            }
            text = GatewayFixture::answer(first, "stale") + text;
        }
        exchange.write(text);
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("right"); }, "the answer");
    caller.forget();
    caller.send(GatewayFixture::request("POST", "/once/x", "r2"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("right"); }, "the answer");
    cr_assert(!caller.received().contains("stale"));
    cr_assert(caller.received().contains("Lacewingmux-Request-Id: r2\r\n"));
    cr_assert_eq(fixture.replicas[0]->connectionCount(), 1);
}

Test(forwarding, does_not_reuse_a_connection_after_trailing_bytes)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "right") + "more");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("GET", "/safe/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("right"); }, "the answer");
    caller.send(GatewayFixture::request("GET", "/safe/x", "r2"));
    fixture.loop.waitUntil([&] { return fixture.requestCount() == 2; }, "the second request");
    cr_assert_eq(fixture.replicas[0]->connectionCount(), 2);
}

Test(forwarding, rejects_a_success_without_the_server_stamp)
{
    GatewayFixture fixture(1, [](const auto &, const auto &exchange) {
        exchange.write(
                "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: r1\r\nContent-Length: 2\r\n\r\nno");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the failure");
    cr_assert(caller.received().startsWith("HTTP/1.1 502"));
}

Test(forwarding, accepts_a_response_without_length_only_after_an_orderly_close)
{
    bool inOrder = false;
    GatewayFixture fixture(1, [&inOrder](const auto &, const auto &exchange) {
        exchange.write("HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: r1\r\n"
                       "Lacewingmux-Server-Stamp: s\r\n\r\nopen end");
        if (inOrder)
            exchange.close();
        else
            exchange.reset();
    });
    RawCaller first(fixture.gateway->port());
    first.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return hasAnswer(first); }, "the failure");
    cr_assert(first.received().startsWith("HTTP/1.1 502"));
    inOrder = true;
    RawCaller second(fixture.gateway->port());
    second.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return hasAnswer(second); }, "the answer");
    cr_assert(second.received().startsWith("HTTP/1.1 200"));
    cr_assert(second.received().endsWith("open end"));
}

Test(forwarding, answers_in_time_when_the_replica_does_not)
{
    GatewayFixture fixture(2, [](const auto &, const auto &) {});
    RawCaller caller(fixture.gateway->port());
    caller.send(
            GatewayFixture::request("GET", "/safe/x", "r1", "Lacewingmux-Deadline-Ms: 300\r\n"));
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the timeout");
    cr_assert(caller.received().startsWith("HTTP/1.1 504"));
}

Test(forwarding, does_not_promise_that_an_unreachable_replica_has_not_run_the_call)
{
    GatewayFixture *current = nullptr;
    GatewayFixture fixture(
            1, [&current](const auto &, const auto &) { current->replicas[0]->stopListening(); });
    current = &fixture;
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("GET", "/safe/x", "r1"));
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the answer");
    cr_assert(caller.received().startsWith("HTTP/1.1 50"));
    cr_assert_not(caller.received().startsWith("HTTP/1.1 503"), "it may have run");
    cr_assert_eq(fixture.requestCount(), 1);
}

Test(forwarding, keeps_a_call_until_its_time_is_up_while_its_connection_lives)
{
    GatewayFixture fixture(2, [](const auto &, const auto &) {});
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; }, "the request");
    for (const auto &replica : fixture.replicas)
        replica->stopListening();
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the failure");
    cr_assert(caller.received().startsWith("HTTP/1.1 504"));
    cr_assert(caller.received().contains("did not answer in time"), "not before the time is up");
    cr_assert_eq(fixture.requestCount(), 1);
}

Test(forwarding, avoids_a_replica_until_it_is_reachable_again)
{
    bool silent = false;
    const auto write = [](const HttpRequest &request, const ScriptedReplica::Exchange &exchange) {
        QByteArray text = GatewayFixture::answer(request, "ran");
        exchange.write(text.replace("\r\n\r\n", "\r\nKeep-Alive: timeout=10\r\n\r\n"));
    };
    GatewayFixture fixture(1, [&](const HttpRequest &request, const auto &exchange) {
        if (!silent)
            write(request, exchange);
    });
    ScriptedReplica &near = *fixture.replicas[0];
    ScriptedReplica far(write);
    ReplicaInstance nearEntry;
    nearEntry.id = "near";
    nearEntry.service = "service";
    nearEntry.zone = "a";
    nearEntry.address = QHostAddress(QHostAddress::LocalHost);
    nearEntry.port = near.port();
    nearEntry.slots = 8;
    ReplicaInstance farEntry = nearEntry;
    farEntry.id = "far";
    farEntry.zone = "b";
    farEntry.port = far.port();
    fixture.gateway->setReplicas({nearEntry, farEntry});
    RawCaller first(fixture.gateway->port());
    RawCaller second(fixture.gateway->port());
    first.send(GatewayFixture::request("POST", "/once/x", "r1"));
    second.send(GatewayFixture::request("POST", "/once/x", "r2"));
    fixture.loop.waitUntil([&] { return hasAnswer(first) && hasAnswer(second); }, "the answers");
    cr_assert_eq(near.requests().size(), 2, "two connections to it are kept");

    silent = true;
    RawCaller cutOff(fixture.gateway->port());
    cutOff.send(GatewayFixture::request("POST", "/once/x", "r3"));
    fixture.loop.waitUntil([&] { return near.requests().size() == 3; }, "the request");
    near.stopListening();
    fixture.loop.waitUntil([&] { return hasAnswer(cutOff); }, "the failure");
    // Longer than the backoff and the decay of failures, after which a call would try it again.
    fixture.loop.runFor(milliseconds(3000));
    RawCaller next(fixture.gateway->port());
    next.send(GatewayFixture::request("POST", "/once/x", "r4"));
    fixture.loop.waitUntil([&] { return hasAnswer(next); }, "the answer");
    cr_assert(next.received().startsWith("HTTP/1.1 200"));
    cr_assert_eq(near.requests().size(), 3);
}

Test(forwarding, leads_callers_elsewhere_while_the_records_are_out_of_reach)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    fixture.gateway->setRecordsReachable(false);
    RawCaller caller(fixture.gateway->port());
    RawCaller free(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    free.send(GatewayFixture::request("GET", "/open/x", "r2"));
    fixture.loop.waitUntil([&] { return hasAnswer(caller) && hasAnswer(free); }, "the answers");
    cr_assert(caller.received().startsWith("HTTP/1.1 503"));
    cr_assert(caller.received().contains("Connection: close\r\n"));
    cr_assert(caller.received().contains("Retry-After: 2."), "when the balancer has noticed");
    cr_assert(free.received().startsWith("HTTP/1.1 200"), "it needs no quota and no history");
    cr_assert_eq(fixture.quota.taken, 0);

    fixture.gateway->setRecordsReachable(true);
    RawCaller later(fixture.gateway->port());
    later.send(GatewayFixture::request("POST", "/once/x", "r3"));
    fixture.loop.waitUntil([&] { return hasAnswer(later); }, "the answer");
    cr_assert(later.received().startsWith("HTTP/1.1 200"));
}

Test(forwarding, closes_the_replica_connection_when_the_caller_disconnects)
{
    bool closed = false;
    ScriptedReplica::Exchange *kept = nullptr;
    GatewayFixture fixture(1, [&kept](const auto &, const ScriptedReplica::Exchange &exchange) {
        kept = new ScriptedReplica::Exchange(exchange);
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("GET", "/safe/x", "r1"));
    fixture.loop.waitUntil([&] { return kept != nullptr; }, "the request");
    caller.close();
    fixture.loop.waitUntil([&] { return closed = kept->isClosed(); }, "the end of the work");
    cr_assert(closed);
    delete kept;
}

Test(forwarding, a_planned_stop_answers_what_it_has_read)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.writeAfter(milliseconds(300), GatewayFixture::answer(request, "late"));
    });
    RawCaller caller(fixture.gateway->port());
    RawCaller idle(fixture.gateway->port());
    caller.send(GatewayFixture::request("GET", "/safe/x", "r1"));
    fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; }, "the request");
    bool drained = false;
    fixture.gateway->beginStop([&drained] { drained = true; });
    fixture.loop.waitUntil([&] { return caller.received().endsWith("late"); }, "the answer");
    cr_assert(caller.received().contains("Connection: close\r\n"));
    fixture.loop.waitUntil([&] { return drained && idle.isClosed(); }, "the end of the stop");
}

Test(forwarding, keeps_a_connection_whose_response_did_not_announce_the_close)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        if (!request.target.startsWith("/stream/")) {
            exchange.write(GatewayFixture::answer(request, "next"));
            return;
        }
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
        exchange.writeAfter(milliseconds(400), "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().contains("data: a"); }, "the stream");
    fixture.gateway->beginStop([] {});
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "its end");
    caller.forget();
    caller.send(GatewayFixture::request("GET", "/safe/x", "r2"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("next"); }, "the next answer");
}

Test(forwarding, a_stopping_vm_refuses_requests_that_it_might_not_finish)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
        exchange.writeAfter(milliseconds(700), "0\r\n\r\n");
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().contains("data: a"); }, "the stream");
    const std::uint16_t port = fixture.gateway->port();
    fixture.gateway->beginStop([] {});
    fixture.loop.runFor(milliseconds(300));
    RawCaller newcomer(port);
    fixture.loop.waitUntil([&] { return newcomer.isClosed(); }, "no new connections");
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
    caller.forget();
    caller.send(GatewayFixture::request("GET", "/safe/x", "r2"));
    fixture.loop.waitUntil([&] { return hasAnswer(caller); }, "the refusal");
    cr_assert(caller.received().startsWith("HTTP/1.1 503"));
    cr_assert_eq(fixture.requestCount(), 1);
}

Test(forwarding, a_malformed_request_ends_its_connection)
{
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    RawCaller caller(fixture.gateway->port());
    caller.send(
            "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n"
            "Content-Length: 9\r\n\r\nGET /safe/smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    fixture.loop.waitUntil([&] { return caller.isClosed(); }, "the end of the connection");
    cr_assert(caller.received().startsWith("HTTP/1.1 400"));
    cr_assert_eq(caller.received().count("HTTP/1.1"), 1);
    cr_assert_eq(fixture.requestCount(), 0);
}

#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

// Longer than the silence after which the gateway tries a new connection, and that attempt.
constexpr milliseconds silence{1250};

using Exchange = ScriptedReplica::Exchange;
using Hook = std::function<void(ScriptedReplica &, const Exchange &)>;

/** Two replicas of which the first that gets a request becomes silent, as the hook says, and
   answers after the silence. */
class SilentReplicaFixture : public GatewayFixture
{
public:
    SilentReplicaFixture(bool streams, Hook hook)
        : GatewayFixture(2,
                         [this, streams](const HttpRequest &request, const Exchange &exchange) {
                             this->answer(request, exchange, streams);
                         })
        , beginSilence(std::move(hook))
    { }

private:
    void answer(const HttpRequest &request, const Exchange &exchange, bool streams)
    {
        if (streams) {
            exchange.write(streamHead(request) + event(1, "a"));
            exchange.writeAfter(silence, event(2, "b") + event(3, "c") + "0\r\n\r\n");
        } else {
            exchange.writeAfter(silence, GatewayFixture::answer(request, "whole"));
        }
        ScriptedReplica &replica =
                this->replicas[0]->requests().empty() ? *this->replicas[1] : *this->replicas[0];
        this->beginSilence(replica, exchange);
    }

    Hook beginSilence;
};

void fillQueue(ScriptedReplica &replica, const Exchange &)
{
    replica.stopAccepting();
}

void closeListener(ScriptedReplica &replica, const Exchange &)
{
    replica.stopListening();
}

/** Sends a stream request to a replica that becomes silent, and checks that it is passed on whole
    from one run. */
void expectWholeStream(const QByteArray &path, const Hook &hook)
{
    SilentReplicaFixture fixture(true, hook);
    fixture.useTimeout(milliseconds(5000));
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", path, "r1"));
    fixture.loop.waitUntil(
            [&] { return caller.isClosed() || caller.received().endsWith("0\r\n\r\n"); },
            "the end of the stream");
    cr_assert(caller.received().endsWith("0\r\n\r\n"), "the stream was cut");
    cr_assert_eq(caller.received().count("data: a"), 1);
    cr_assert_eq(caller.received().count("data: b"), 1);
    cr_assert_eq(caller.received().count("data: c"), 1);
    cr_assert_eq(fixture.requestCount(), 1, "one run");
}

/** The same with a call that is answered at once. */
void expectWholeAnswer(const QByteArray &method, const QByteArray &path, const Hook &hook)
{
    SilentReplicaFixture fixture(false, hook);
    fixture.useTimeout(milliseconds(5000));
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request(method, path, "r1"));
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the answer");
    cr_assert(caller.received().startsWith("HTTP/1.1 200"));
    cr_assert(caller.received().endsWith("whole"));
    cr_assert_eq(fixture.requestCount(), 1, "one run");
}

} // namespace

// A replica that is silent while its own connection lives must not lose its calls, whatever becomes
// of a new connection.

Test(silent_replica, a_stream_is_not_cut_while_the_queue_of_new_connections_is_full)
{
    expectWholeStream("/stream/x", fillQueue);
}

Test(silent_replica, a_stream_is_not_cut_while_new_connections_are_refused)
{
    expectWholeStream("/stream/x", closeListener);
}

Test(silent_replica, a_resumable_stream_is_not_run_elsewhere_while_the_queue_is_full)
{
    expectWholeStream("/resume/x", fillQueue);
}

Test(silent_replica, a_resumable_stream_is_not_run_elsewhere_while_new_connections_are_refused)
{
    expectWholeStream("/resume/x", closeListener);
}

Test(silent_replica, a_turn_is_not_cut_while_the_queue_of_new_connections_is_full)
{
    SilentReplicaFixture fixture(true, fillQueue);
    fixture.useTimeout(milliseconds(5000));
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/turn/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.isClosed() || fixture.turnStore.pendingStore; },
                           "the end of the turn");
    cr_assert_not(caller.isClosed(), "the stream was cut");
    fixture.turnStore.pendingStore(true);
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "its end");
    cr_assert(caller.received().contains("data: c"));
}

Test(silent_replica, a_call_that_may_run_once_does_not_fail_while_the_queue_is_full)
{
    expectWholeAnswer("POST", "/once/x", fillQueue);
}

Test(silent_replica, an_idempotent_call_is_not_run_elsewhere_while_new_connections_are_refused)
{
    expectWholeAnswer("GET", "/safe/x", closeListener);
}

Test(silent_replica, a_call_ends_before_its_time_when_its_connection_is_no_longer_acknowledged)
{
    GatewayFixture fixture(
            1, [](const HttpRequest &, const Exchange &exchange) { exchange.dropIncoming(); });
    fixture.useTimeout(milliseconds(25000));
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    const auto start = std::chrono::steady_clock::now();
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the failure");
    cr_assert(caller.received().startsWith("HTTP/1.1 502"));
    cr_assert(caller.received().contains("can't be reached"));
    cr_assert(std::chrono::steady_clock::now() - start < milliseconds(12000),
              "long before the time is up");
}

Test(silent_replica, a_stream_is_resumed_when_its_connection_is_no_longer_acknowledged)
{
    int runs = 0;
    GatewayFixture fixture(2, [&runs](const HttpRequest &request, const Exchange &exchange) {
        const bool isFirst = ++runs == 1;
        exchange.write(GatewayFixture::streamHead(request)
                       + (isFirst ? GatewayFixture::event(1, "a")
                                  : GatewayFixture::event(2, "b") + "0\r\n\r\n"));
        if (isFirst)
            exchange.dropIncoming();
    });
    fixture.useTimeout(milliseconds(25000));
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/resume/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
    cr_assert_eq(caller.received().count("data: a"), 1);
    cr_assert_eq(caller.received().count("data: b"), 1);
    cr_assert_eq(runs, 2);
}

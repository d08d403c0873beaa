#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/HttpText.h"

#include <QTimer>

#include <criterion/criterion.h>

#include <algorithm>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a request that crashes each replica that runs it being sent to more and more of
// them, if no other request happens to find the crashed replicas unreachable.

namespace {

using Exchange = ScriptedReplica::Exchange;

constexpr int replicaCount = 6;
constexpr milliseconds betweenRequests{300};

/** What a replica does when "poison" breaks its connection. */
enum class Effect { Cut, Crash };

void breakConnection(const Exchange &exchange, Effect effect)
{
    if (effect == Effect::Crash)
        exchange.crash();
    else
        exchange.close();
}

/** Returns a handler that breaks the connection instead of an answer to "poison", and does not
    answer "slow". */
ScriptedReplica::Handler breakOnPoison(Effect effect)
{
    return [effect](const HttpRequest &request, const Exchange &exchange) {
        if (request.body == "poison")
            breakConnection(exchange, effect);
        else if (request.body != "slow")
            exchange.write(GatewayFixture::answer(request, "sound."));
    };
}

/** Sends a request that may run once; returns the response. */
QByteArray sendOnce(GatewayFixture &fixture, const QByteArray &body)
{
    static int number = 0;
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r" + QByteArray::number(++number), {},
                                        body));
    fixture.loop.waitUntil([&] { return !caller.received().isEmpty(); }, "the response");
    fixture.loop.runFor(betweenRequests);
    return caller.received();
}

} // namespace

Test(crashing_request, reaches_no_replica_after_it_has_crashed_three)
{
    GatewayFixture fixture(replicaCount, breakOnPoison(Effect::Crash));
    for (int crash = 0; crash < 3; ++crash)
        sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 3);
    const QByteArray refusal = sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 3, "the request reached a fourth replica");
    cr_assert(refusal.startsWith("HTTP/1.1 503"), "%s", refusal.constData());
    cr_assert(sendOnce(fixture, "other").endsWith("sound."));
}

Test(crashing_request, is_not_seen_in_one_whose_connections_were_cut)
{
    GatewayFixture fixture(replicaCount, breakOnPoison(Effect::Cut));
    for (int cut = 0; cut < 6; ++cut)
        sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 6, "the replicas went on listening");
}

namespace {

// Until overlapping crashes are counted.
constexpr milliseconds settledAfter{2200};

// So that runs that are sent at the same moment overlap.
constexpr milliseconds runTime{60};

/** Crashes the replica a while after "poison" has come. */
void crashLaterOnPoison(const HttpRequest &request, const Exchange &exchange)
{
    if (request.body == "poison")
        QTimer::singleShot(runTime, [exchange] { exchange.crash(); });
    else
        exchange.write(GatewayFixture::answer(request, "sound."));
}

/** Returns a handler that begins an answer without a length to "poison" and breaks the connection.
 */
ScriptedReplica::Handler breakOffOnPoison(Effect effect)
{
    return [effect](const HttpRequest &request, const Exchange &exchange) {
        if (request.body != "poison") {
            exchange.write(GatewayFixture::answer(request, "sound."));
            return;
        }
        exchange.write("HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: "
                       + fieldValue(request.fields, "Lacewingmux-Request-Id")
                       + "\r\nLacewingmux-Server-Stamp: stamp\r\n\r\nbegun");
        breakConnection(exchange, effect);
    };
}

/** Sends the request as often at the same moment, and lets so many replicas that did not get it
    refuse connections from then on. */
void sendAtOnce(GatewayFixture &fixture, const QByteArray &body, int count, int othersThatFail)
{
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int number = 0; number < count; ++number) {
        callers.push_back(std::make_unique<RawCaller>(fixture.gateway->port()));
        callers.back()->send(GatewayFixture::request("POST", "/once/x",
                                                     "v" + QByteArray::number(number), {}, body));
    }
    for (const auto &caller : callers)
        fixture.loop.waitUntil([&] { return !caller->received().isEmpty(); }, "the response");
    for (const auto &replica : fixture.replicas) {
        if (replica->requests().empty() && othersThatFail-- > 0)
            replica->stopListening();
    }
    fixture.loop.runFor(settledAfter);
}

} // namespace

// Guards against the beginning of an answer without a length, which a crash has cut, being taken
// for a whole one, so that the request never counts as one that crashes replicas.
Test(crashing_request, reaches_no_replica_after_it_has_crashed_three_in_their_answers)
{
    GatewayFixture fixture(replicaCount, breakOffOnPoison(Effect::Crash));
    for (int crash = 0; crash < 3; ++crash)
        sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 3);
    sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 3, "the request reached a fourth replica");
}

Test(crashing_request, is_not_seen_in_one_whose_answers_end_with_their_connections)
{
    GatewayFixture fixture(replicaCount, breakOffOnPoison(Effect::Cut));
    for (int sent = 0; sent < 6; ++sent)
        sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 6, "the replicas went on listening");
}

// Guards against a request that crashes several replicas at the same moment counting as one crash.
Test(crashing_request, reaches_no_replica_after_it_has_crashed_three_at_once)
{
    GatewayFixture fixture(replicaCount, crashLaterOnPoison);
    sendAtOnce(fixture, "poison", 3, 0);
    const int before = fixture.requestCount();
    cr_assert_geq(before, 3);
    sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), before);
    cr_assert(sendOnce(fixture, "other").endsWith("sound."));
}

Test(crashing_request, is_not_seen_in_one_whose_replicas_failed_together_with_others)
{
    GatewayFixture fixture(replicaCount, crashLaterOnPoison);
    sendAtOnce(fixture, "poison", 3, 1);
    const int before = fixture.requestCount();
    sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), before + 1);
}

// Guards against a request that crashes replicas being cleared because another replica, which was
// being removed from service as planned, ended at the same time.
Test(crashing_request, reaches_no_replica_after_it_has_crashed_three_while_another_drained)
{
    GatewayFixture fixture(replicaCount + 1, breakOnPoison(Effect::Crash));
    fixture.instances.back().draining = true;
    fixture.gateway->setReplicas(fixture.instances);
    fixture.replicas.back()->stopListening();
    for (int crash = 0; crash < 3; ++crash)
        sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 3);
    fixture.loop.runFor(settledAfter);
    sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 3, "the request reached a fourth replica");
}

// Guards against a request that crashes replicas being cleared because another replica, which
// serves as many connections as it can, refused a new one.
Test(crashing_request, reaches_no_replica_after_it_has_crashed_three_while_another_was_full)
{
    GatewayFixture fixture(replicaCount + 1, breakOnPoison(Effect::Crash));
    fixture.useTimeout(std::chrono::seconds(10));
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "slow", {}, "slow"));
    fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; }, "the slow request");
    for (const auto &replica : fixture.replicas) {
        if (!replica->requests().empty())
            replica->stopListening();
    }
    for (int crash = 0; crash < 3; ++crash)
        sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 4);
    fixture.loop.runFor(settledAfter);
    sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 4, "the request reached a fourth replica");
}

// Guards against a popular request being refused for an hour after some of the replicas that ran
// it were killed together.
Test(crashing_request, is_sent_again_once_other_replicas_have_answered_it)
{
    int runs = 0;
    GatewayFixture fixture(replicaCount,
                           [&runs](const HttpRequest &request, const Exchange &exchange) {
                               const bool isKilled = runs++ < 3;
                               if (isKilled)
                                   QTimer::singleShot(runTime, [exchange] { exchange.crash(); });
                               else
                                   QTimer::singleShot(2 * settledAfter, [request, exchange] {
                                       exchange.write(GatewayFixture::answer(request, "sound."));
                                   });
                           });
    fixture.useTimeout(std::chrono::seconds(20));
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int number = 0; number < replicaCount; ++number) {
        callers.push_back(std::make_unique<RawCaller>(fixture.gateway->port()));
        callers.back()->send(GatewayFixture::request(
                "POST", "/once/x", "p" + QByteArray::number(number), {}, "popular"));
    }
    fixture.loop.runFor(settledAfter);
    cr_assert_eq(fixture.requestCount(), replicaCount);
    for (const auto &caller : callers)
        fixture.loop.waitUntil([&] { return !caller->received().isEmpty(); }, "the response");
    fixture.loop.runFor(betweenRequests);
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "again", {}, "popular"));
    fixture.loop.waitUntil([&] { return fixture.requestCount() == replicaCount + 1; },
                           "the request at a replica");
}

namespace {

/** Crashes the replica if the conversation begins with "bad". */
void crashOnBadConversation(const HttpRequest &request, const Exchange &exchange)
{
    if (request.body.startsWith("bad"))
        exchange.crash();
    else
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "sound")
                       + lastChunk());
}

/** Sends "yes" as the next turn after the given one, whose name is also the conversation so far;
    returns whether it reached a replica. */
bool reachesReplicaAfter(GatewayFixture &fixture, const QByteArray &previousTurn)
{
    const int before = fixture.requestCount();
    fixture.turnStore.admission.history = previousTurn;
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/turn/x", "t" + QByteArray::number(before),
                                        "Lacewingmux-Previous-Turn: " + previousTurn + "\r\n",
                                        "yes"));
    fixture.loop.waitUntil([&] { return !caller.received().isEmpty(); }, "the response");
    fixture.loop.runFor(betweenRequests);
    return fixture.requestCount() > before;
}

} // namespace

// Guards against the turns of other conversations being refused because one conversation crashes
// replicas and its last input is a usual one.
Test(crashing_request, is_told_from_equal_inputs_of_other_conversations)
{
    GatewayFixture fixture(replicaCount, crashOnBadConversation);
    for (int crash = 0; crash < 3; ++crash)
        cr_assert(reachesReplicaAfter(fixture, "bad"));
    cr_assert(!reachesReplicaAfter(fixture, "bad"));
    cr_assert(reachesReplicaAfter(fixture, "sound"));
    cr_assert(!reachesReplicaAfter(fixture, "bad"));
}

// Guards against an input that crashes replicas reaching more of them in one conversation after
// the other.
Test(crashing_request, reaches_no_replica_in_another_conversation)
{
    GatewayFixture fixture(replicaCount, crashOnBadConversation);
    for (const char *turn : {"bad-1", "bad-2", "bad-3"})
        cr_assert(reachesReplicaAfter(fixture, turn));
    cr_assert(!reachesReplicaAfter(fixture, "bad-4"));
}

namespace {

/** Returns a handler that begins an answer to "poison" without the replica's stamp and breaks the
    connection. */
ScriptedReplica::Handler beginWithoutStampOnPoison(Effect effect)
{
    return [effect](const HttpRequest &request, const Exchange &exchange) {
        if (request.body != "poison") {
            exchange.write(GatewayFixture::answer(request, "sound."));
            return;
        }
        exchange.writeNow("HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: "
                          + fieldValue(request.fields, "Lacewingmux-Request-Id") + "\r\n\r\nbegun");
        breakConnection(exchange, effect);
    };
}

} // namespace

// Guards against a request whose crashes cut answers that can't be used, as they have no stamp,
// being sent on and on.
Test(crashing_request, reaches_no_replica_after_it_has_crashed_three_in_answers_without_a_stamp)
{
    GatewayFixture fixture(replicaCount, beginWithoutStampOnPoison(Effect::Crash));
    for (int crash = 0; crash < 3; ++crash)
        sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 3);
    sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 3, "the request reached a fourth replica");
}

Test(crashing_request, is_not_seen_in_one_whose_answers_have_no_stamp)
{
    GatewayFixture fixture(replicaCount, beginWithoutStampOnPoison(Effect::Cut));
    for (int sent = 0; sent < 6; ++sent)
        sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 6, "the replicas went on listening");
}

namespace {

// Until a request may be tried that was quarantined at the end of settledAfter.
constexpr milliseconds trialAfter{3200};

/** Starts the replicas again, under other ids. */
void restartReplicas(GatewayFixture &fixture, const ScriptedReplica::Handler &handler)
{
    for (ReplicaInstance &instance : fixture.instances) {
        fixture.replicas.push_back(std::make_unique<ScriptedReplica>(handler));
        instance.id += "-again";
        instance.port = fixture.replicas.back()->port();
    }
    fixture.gateway->setReplicas(fixture.instances);
}

} // namespace

// Guards against a popular request being refused for an hour after all replicas failed at once, as
// no run of it is left whose answer could end its quarantine.
Test(crashing_request, is_tried_once_after_all_replicas_have_failed_together)
{
    GatewayFixture fixture(3, crashLaterOnPoison);
    sendAtOnce(fixture, "poison", 3, 0);
    cr_assert_eq(fixture.requestCount(), 3);
    restartReplicas(fixture, [](const HttpRequest &request, const Exchange &exchange) {
        exchange.write(GatewayFixture::answer(request, "sound."));
    });
    const QByteArray refusal = sendOnce(fixture, "poison");
    cr_assert(refusal.startsWith("HTTP/1.1 503") && refusal.contains("Retry-After: 1\r\n"), "%s",
              refusal.constData());
    fixture.loop.runFor(trialAfter);
    for (int sent = 0; sent < 3; ++sent)
        cr_assert(sendOnce(fixture, "poison").endsWith("sound."));
}

// Guards against a request that crashes replicas being tried by each VM, or again and again.
Test(crashing_request, reaches_no_replica_after_a_trial_has_crashed_one)
{
    GatewayFixture fixture(3, crashLaterOnPoison);
    sendAtOnce(fixture, "poison", 3, 0);
    restartReplicas(fixture, crashLaterOnPoison);
    fixture.loop.runFor(trialAfter);
    for (int sent = 0; sent < 5; ++sent)
        sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 4);
    fixture.loop.runFor(2 * trialAfter);
    sendOnce(fixture, "poison");
    cr_assert_eq(fixture.requestCount(), 4);
}

#include "support/GatewayFixture.h"

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

/** Closes the connection instead of an answer to "poison". */
void closeOnPoison(const HttpRequest &request, const Exchange &exchange)
{
    if (request.body == "poison")
        exchange.close();
    else
        exchange.write(GatewayFixture::answer(request, "sound."));
}

/** Sends a request that may run once; returns the response. The replica that gets it refuses
    connections from then on, if it is to crash. */
QByteArray sendOnce(GatewayFixture &fixture, const QByteArray &body, bool crashes)
{
    static int number = 0;
    std::vector<std::size_t> before;
    for (const auto &replica : fixture.replicas)
        before.push_back(replica->requests().size());
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r" + QByteArray::number(++number), {},
                                        body));
    fixture.loop.waitUntil([&] { return !caller.received().isEmpty(); }, "the response");
    for (std::size_t index = 0; index < before.size(); ++index) {
        if (crashes && fixture.replicas[index]->requests().size() > before[index])
            fixture.replicas[index]->stopListening();
    }
    fixture.loop.runFor(betweenRequests);
    return caller.received();
}

} // namespace

Test(crashing_request, reaches_no_replica_after_it_has_crashed_three)
{
    GatewayFixture fixture(replicaCount, closeOnPoison);
    for (int crash = 0; crash < 3; ++crash)
        sendOnce(fixture, "poison", true);
    cr_assert_eq(fixture.requestCount(), 3);
    const QByteArray refusal = sendOnce(fixture, "poison", true);
    cr_assert_eq(fixture.requestCount(), 3, "the request reached a fourth replica");
    cr_assert(refusal.startsWith("HTTP/1.1 503"), "%s", refusal.constData());
    cr_assert(sendOnce(fixture, "other", false).endsWith("sound."));
}

Test(crashing_request, is_not_seen_in_one_whose_connections_were_cut)
{
    GatewayFixture fixture(replicaCount, closeOnPoison);
    for (int cut = 0; cut < 6; ++cut)
        sendOnce(fixture, "poison", false);
    cr_assert_eq(fixture.requestCount(), 6, "the replicas went on listening");
}

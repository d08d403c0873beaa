#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// The queue of new connections of a silent replica must not be filled by the probes of its calls.

Test(probe_count, many_silent_calls_of_a_replica_share_its_probes)
{
    constexpr int callCount = 40;
    GatewayFixture fixture(1, [](const auto &, const auto &) {});
    fixture.useTimeout(milliseconds(10000));
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int index = 0; index < callCount; ++index) {
        callers.push_back(std::make_unique<RawCaller>(fixture.gateway->port()));
        callers.back()->send(
                GatewayFixture::request("POST", "/once/x", "r" + QByteArray::number(index)));
        fixture.loop.runFor(milliseconds(10));
    }
    fixture.loop.waitUntil([&] { return fixture.requestCount() == callCount; }, "the requests");
    fixture.loop.runFor(milliseconds(1300));
    const int probes = fixture.replicas[0]->connectionCount() - callCount;
    cr_assert_geq(probes, 1);
    cr_assert_leq(probes, 5, "%d probes", probes);
}

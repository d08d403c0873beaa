#include "loops/EventLoop.h"

#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(replica_fleet, survives_a_probe_that_fails_at_once)
{
    EventLoop loop;
    ReplicaFleet fleet("a", {}, loop.timers, [](const CrashCoincidence &) {});
    ReplicaInstance instance;
    instance.id = "i-0";
    instance.service = "service";
    instance.address = QHostAddress(QHostAddress::Broadcast); // connect() fails without waiting
    instance.port = 1;
    fleet.setReplicas({instance});
    bool ended = false;
    bool endedAtOnce = true;
    fleet.probe("i-0", nullptr, [&](ConnectResult result) {
        cr_assert(result != ConnectResult::Connected);
        ended = true;
        cr_assert_not(endedAtOnce, "the caller has not kept what it needs yet");
    });
    endedAtOnce = false;
    loop.waitUntil([&ended] { return ended; }, "the result");
}

Test(replica_fleet, suspects_a_request_that_fails_after_its_replica_was_found_unreachable)
{
    EventLoop loop;
    int crashes = 0;
    ReplicaFleet fleet("a", {}, loop.timers, [&crashes](const CrashCoincidence &) { ++crashes; });
    ReplicaInstance instance;
    instance.id = "i-0";
    instance.service = "service";
    instance.address = QHostAddress(QHostAddress::LocalHost);
    instance.port = 1; // no server listens on this port
    fleet.setReplicas({instance});
    // When a replica crashes, its requests fail one after the other.
    fleet.crashCorrelator().recordBrokenConnection("i-0", "first", loop.timers.now());
    fleet.recordUnreachable("i-0");
    fleet.crashCorrelator().recordBrokenConnection("i-0", "second", loop.timers.now());
    fleet.recordUnreachable("i-0");
    cr_assert_eq(crashes, 2);
}

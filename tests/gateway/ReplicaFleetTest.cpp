#include "loops/EventLoop.h"

#include "lacewingmux_gateway/replicas/ReplicaFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(replica_fleet, a_request_that_breaks_after_its_replica_was_found_away_is_suspected_too)
{
    EventLoop loop;
    int crashes = 0;
    ReplicaFleet fleet("a", loop.timers, [&crashes](const CrashCoincidence &) { ++crashes; });
    ReplicaInstance instance;
    instance.id = "i-0";
    instance.service = "service";
    instance.address = QHostAddress(QHostAddress::LocalHost);
    instance.port = 1; // nobody listens there
    fleet.setReplicas({instance});
    // Of the requests under which a replica crashes, one notices first and the rest later.
    fleet.suspicions().noteBroken("i-0", "first", loop.timers.now());
    fleet.noteUnreachable("i-0");
    fleet.suspicions().noteBroken("i-0", "second", loop.timers.now());
    fleet.noteUnreachable("i-0");
    cr_assert_eq(crashes, 2);
}

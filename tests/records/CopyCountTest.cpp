#include "simulation/RecordsFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a turn that counts as durable with one copy, when the link to the only member that
// stores it broke and came back.
Test(copy_count, counts_a_member_once_that_acknowledges_again_after_a_broken_link)
{
    RecordsFleet fleet(3, 1);
    fleet.network.pause(QStringLiteral("r2"));
    fleet.network.pause(QStringLiteral("r3"));
    TurnRequest turn;
    turn.program = "program";
    turn.request = "t1";
    turn.team = "team";
    turn.retention = std::chrono::seconds(60);
    turn.deadline = fleet.timers.now() + milliseconds(1500);
    std::optional<bool> isDurable;
    fleet.entryVms[0].client->store(turn, "a", "b\n", 50,
                                    [&isDurable](bool durable) { isDurable = durable; });
    fleet.run(milliseconds(100));
    fleet.network.breakLink(QStringLiteral("r1"), QStringLiteral("e1"));
    fleet.run(milliseconds(100));
    cr_assert(!isDurable.has_value(), "it is on one disk");
    fleet.network.resume(QStringLiteral("r2"));
    fleet.run(milliseconds(100));
    cr_assert(isDurable.has_value());
    cr_assert(*isDurable);
}

#include "lacewingmux_records/messages/RecordsCodec.h"

#include "lacewingmux_core/protection/Quarantine.h"

#include <criterion/criterion.h>

#include "simulation/RecordsFleet.h"

#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

Test(crash_notice, keeps_the_ages_of_the_run_and_of_the_crash)
{
    const CrashCoincidence sent{"digest", QStringLiteral("i-1/5"), milliseconds(700),
                                milliseconds(120), "turn"};
    const auto received = RecordsCodec::decodeCrash(RecordsCodec::encodeCrash(sent));
    cr_assert(received.has_value());
    cr_assert(received->contentDigest == sent.contentDigest && received->crash == sent.crash);
    cr_assert(received->sinceSent == sent.sinceSent && received->sinceCrash == sent.sinceCrash);
    cr_assert(received->turnDigest == sent.turnDigest);
}

// Guards against entry VMs without usage caps or traffic learning of no crash, so that each of them
// sends a request on that crashes replicas.
Test(crash_notice, reaches_each_entry_vm_once_from_each_records_vm)
{
    RecordsFleet fleet(3, 3);
    std::vector<int> received(fleet.entryVms.size());
    for (std::size_t number = 0; number < fleet.entryVms.size(); ++number)
        fleet.entryVms[number].hub->setHandler(
                FrameKind::CrashNotice,
                [&received, number](const auto &, const auto &) { ++received[number]; });
    const PeerFrame notice{FrameKind::CrashNotice, 0, 0,
                           RecordsCodec::encodeCrash({"digest", QStringLiteral("i-1/5")})};
    for (const auto &[name, vm] : fleet.recordsVms)
        fleet.entryVms[0].hub->send(vm.hub->self(), notice);
    fleet.run(milliseconds(100));
    cr_assert_eq(received[0], 0);
    cr_assert_eq(received[1], 3);
    cr_assert_eq(received[2], 3);
}

// A records VM that has just started is in no view yet.
Test(crash_notice, is_forwarded_once_beside_a_records_vm_that_joins)
{
    RecordsFleet fleet(3, 2);
    int received = 0;
    fleet.entryVms[1].hub->setHandler(FrameKind::CrashNotice,
                                      [&received](const auto &, const auto &) { ++received; });
    fleet.startRecordsVm(QStringLiteral("r4"));
    const PeerFrame notice{FrameKind::CrashNotice, 0, 0,
                           RecordsCodec::encodeCrash({"digest", QStringLiteral("i-1/5")})};
    for (int step = 0; step < 20; ++step) {
        received = 0;
        for (const auto &[name, vm] : fleet.recordsVms)
            fleet.entryVms[0].hub->send(vm.hub->self(), notice);
        fleet.run(milliseconds(100));
        cr_assert_leq(received, 4);
        cr_assert_geq(received, 3);
    }
}

Test(crash_notice, states_no_age_that_is_impossible)
{
    const CrashCoincidence sent{"digest", QStringLiteral("i-1/5"), milliseconds::max(),
                                milliseconds::min()};
    const auto received = RecordsCodec::decodeCrash(RecordsCodec::encodeCrash(sent));
    cr_assert(received.has_value());
    cr_assert(received->sinceSent == std::chrono::minutes(10));
    cr_assert(received->sinceCrash == milliseconds(0));
}

#include "lacewingmux_gateway/replicas/CrashCorrelator.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

const TimerService::SteadyTime start{std::chrono::seconds(1000)};

struct CorrelatorFixture
{
    std::vector<CrashCoincidence> reported;
    CrashCorrelator crashes{
            [this](const CrashCoincidence &crash) { this->reported.push_back(crash); }};

    void crash(const QByteArray &instance, const QByteArray &digest)
    {
        this->crashes.recordBrokenConnection(instance, digest, start);
        this->crashes.recordUnreachable(instance, start + milliseconds(100));
    }
};

} // namespace

Test(crash_correlator, quarantines_a_request_after_three_crashes)
{
    CorrelatorFixture test;
    test.crash("i-1", "bad");
    test.crash("i-2", "bad");
    cr_assert(!test.crashes.isQuarantined("bad", start));
    test.crash("i-3", "bad");
    cr_assert(test.crashes.isQuarantined("bad", start));
    cr_assert(!test.crashes.isQuarantined("other", start));
    cr_assert_eq(test.reported.size(), 3);
}

Test(crash_correlator, counts_crashes_that_other_vms_detected)
{
    CorrelatorFixture test;
    test.crash("i-1", "bad");
    test.crashes.addRemoteCoincidence({"bad", QStringLiteral("i-2")}, start);
    test.crashes.addRemoteCoincidence({"bad", QStringLiteral("i-2")}, start);
    cr_assert(!test.crashes.isQuarantined("bad", start));
    test.crashes.addRemoteCoincidence({"bad", QStringLiteral("i-3")}, start);
    cr_assert(test.crashes.isQuarantined("bad", start));
    cr_assert_eq(test.reported.size(), 1, "what came from others is not told again");
}

Test(crash_correlator, does_not_count_a_closed_connection_alone_as_a_crash)
{
    CorrelatorFixture test;
    for (const char *instance : {"i-1", "i-2", "i-3"}) {
        test.crashes.recordBrokenConnection(instance, "unlucky", start);
        test.crashes.recordUnreachable(instance, start + std::chrono::seconds(5));
    }
    cr_assert(!test.crashes.isQuarantined("unlucky", start));
}

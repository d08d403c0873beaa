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
        this->crash(instance, digest, start, start);
    }

    void crash(const QByteArray &instance, const QByteArray &digest,
               TimerService::SteadyTime sentAt, TimerService::SteadyTime brokenAt)
    {
        this->crashes.recordBrokenConnection(instance, {digest, 0, sentAt, brokenAt});
        this->crashes.recordUnreachable(instance, brokenAt + milliseconds(100));
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
        test.crashes.recordBrokenConnection(instance, {"unlucky", 0, start, start});
        test.crashes.recordUnreachable(instance, start + std::chrono::seconds(5));
    }
    cr_assert(!test.crashes.isQuarantined("unlucky", start));
}

// A popular request runs on many replicas when several of them are killed at the same time.
Test(crash_correlator, quarantines_no_request_whose_replicas_were_killed_together)
{
    CorrelatorFixture test;
    test.crash("i-1", "popular", start, start + milliseconds(400));
    test.crash("i-2", "popular", start + milliseconds(200), start + milliseconds(401));
    test.crashes.addRemoteCoincidence(
            {"popular", QStringLiteral("i-3/0"), milliseconds(600), milliseconds(150)},
            start + milliseconds(550));
    test.crashes.addRemoteCoincidence(
            {"popular", QStringLiteral("i-4/0"), milliseconds(300), milliseconds(150)},
            start + milliseconds(550));
    cr_assert(!test.crashes.isQuarantined("popular", start + milliseconds(600)));
    cr_assert_eq(test.reported.size(), 1);
}

Test(crash_correlator, counts_the_retries_of_a_request_as_crashes_of_their_own)
{
    CorrelatorFixture test;
    test.crash("i-1", "bad", start, start + milliseconds(30));
    test.crash("i-2", "bad", start + milliseconds(30), start + milliseconds(60));
    test.crash("i-3", "bad", start + milliseconds(60), start + milliseconds(90));
    cr_assert(test.crashes.isQuarantined("bad", start + milliseconds(200)));
}

Test(crash_correlator, clears_a_request_that_a_replica_has_answered)
{
    CorrelatorFixture test;
    test.crash("i-1", "unlucky");
    test.crash("i-2", "unlucky");
    test.crashes.recordCompleted("unlucky");
    test.crash("i-3", "unlucky");
    cr_assert(!test.crashes.isQuarantined("unlucky", start));
}

Test(crash_correlator, keeps_a_quarantined_request_quarantined_when_an_earlier_run_is_answered)
{
    CorrelatorFixture test;
    for (const char *instance : {"i-1", "i-2", "i-3"})
        test.crash(instance, "bad");
    test.crashes.recordCompleted("bad");
    cr_assert(test.crashes.isQuarantined("bad", start));
}

Test(crash_correlator, counts_another_crash_of_a_replica_that_started_again_under_its_id)
{
    CorrelatorFixture test;
    for (std::int64_t startMilliseconds : {1, 2, 3}) {
        test.crashes.recordBrokenConnection("i-1", {"bad", startMilliseconds, start, start});
        test.crashes.recordUnreachable("i-1", start + milliseconds(100));
    }
    cr_assert(test.crashes.isQuarantined("bad", start));
}

#include "lacewingmux_gateway/replicas/CrashCorrelator.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

const TimerService::SteadyTime start{std::chrono::seconds(1000)};

struct CorrelatorFixture
{
    std::vector<CrashCoincidence> reported;
    int suspicions = 0;
    CrashCorrelator crashes{
            [this](const CrashCoincidence &crash) { this->reported.push_back(crash); },
            [this] { ++this->suspicions; }};

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
    cr_assert_eq(test.reported.size(), 1, "a notice of another VM is not sent on");
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
    // Each VM counts the crashes by itself, so it has to know of all.
    cr_assert_eq(test.reported.size(), 2);
    test.crashes.recordUnreachable("i-5", start + milliseconds(700)); // it ran other requests
    test.crashes.decideCrashes(start + milliseconds(3000));
    cr_assert(!test.crashes.isQuarantined("popular", start + milliseconds(3000)));
}

// The same if all replicas that were killed ran it, but another one answers it.
Test(crash_correlator, quarantines_no_request_that_others_answer_after_its_replicas_were_killed)
{
    CorrelatorFixture test;
    for (const char *instance : {"i-1", "i-2", "i-3", "i-4"})
        test.crash(instance, "popular", start, start + milliseconds(400));
    test.crashes.recordCompleted("popular", start, start);
    test.crashes.decideCrashes(start + milliseconds(3000));
    cr_assert(!test.crashes.isQuarantined("popular", start + milliseconds(3000)));
}

// Guards against a request that its callers send to several VMs at the same moment, and that
// crashes a replica of each, being counted as one crash each time.
Test(crash_correlator, counts_each_crash_of_a_request_that_was_sent_to_several_vms_at_once)
{
    CorrelatorFixture test;
    test.crash("i-1", "bad", start, start + milliseconds(30));
    cr_assert_eq(test.suspicions, 0);
    for (const char *crash : {"i-2/0", "i-3/0", "i-3/0"})
        test.crashes.addRemoteCoincidence(
                {"bad", QLatin1String(crash), milliseconds(150), milliseconds(120)},
                start + milliseconds(150));
    // This VM finds the other replicas unreachable as well.
    test.crashes.recordUnreachable("i-2", start + milliseconds(200));
    test.crashes.recordUnreachable("i-3", start + milliseconds(200));
    cr_assert_eq(test.suspicions, 2, "the failures of that time have to be found");
    test.crashes.decideCrashes(start + milliseconds(1000));
    cr_assert(!test.crashes.isQuarantined("bad", start + milliseconds(1000)));
    test.crashes.decideCrashes(start + milliseconds(1200));
    cr_assert(test.crashes.isQuarantined("bad", start + milliseconds(1200)));
}

// Guards against a sound request being refused after replicas were killed beside it, time after
// time.
Test(crash_correlator, counts_no_crash_at_a_time_when_another_replica_failed)
{
    CorrelatorFixture test;
    for (int round = 0; round < 4; ++round) {
        const auto at = start + std::chrono::seconds(10) * round;
        test.crash("i-1", "sound", at, at + milliseconds(100));
        test.crashes.recordUnreachable("i-2", at + milliseconds(400)); // it ran nothing
        test.crashes.decideCrashes(at + milliseconds(1200));
        cr_assert(!test.crashes.isQuarantined("sound", at + milliseconds(1200)), "%d", round);
        test.crashes.recordReturned("i-1");
        test.crashes.recordReturned("i-2");
    }
}

// Guards against two requests that crash replicas at the same time being taken for a common cause.
Test(crash_correlator, quarantines_two_requests_that_crash_replicas_at_the_same_time)
{
    CorrelatorFixture test;
    for (int round = 0; round < 3; ++round) {
        const auto at = start + std::chrono::seconds(4) * round;
        test.crash("a-" + QByteArray::number(round), "bad", at, at + milliseconds(30));
        test.crash("b-" + QByteArray::number(round), "worse", at, at + milliseconds(40));
        test.crashes.decideCrashes(at + milliseconds(1200));
    }
    const auto end = start + std::chrono::seconds(10);
    cr_assert(test.crashes.isQuarantined("bad", end));
    cr_assert(test.crashes.isQuarantined("worse", end));
}

// Guards against a sound request being refused at VMs that saw its replicas killed, although
// another VM has seen it answered meanwhile.
Test(crash_correlator, clears_a_request_that_a_replica_has_answered_at_another_vm)
{
    CorrelatorFixture test;
    std::vector<QByteArray> completed;
    test.crashes.setCompletionHook(
            [&completed](const QByteArray &digest, milliseconds) { completed.push_back(digest); });
    test.crash("i-1", "unlucky");
    test.crash("i-2", "unlucky");
    test.crashes.addRemoteCompletion("unlucky", milliseconds(0), start);
    cr_assert(completed.empty(), "a notice of another VM is not sent on");
    test.crash("i-3", "unlucky");
    cr_assert(!test.crashes.isQuarantined("unlucky", start));
    test.crashes.recordCompleted("unlucky", start, start);
    test.crashes.recordCompleted("other", start, start);
    cr_assert_eq(completed.size(), 1, "other VMs are notified of suspected requests only");
}

// A replica that is found unreachable again has not failed again.
Test(crash_correlator, takes_no_old_failure_for_the_cause_of_later_crashes)
{
    CorrelatorFixture test;
    test.crashes.recordUnreachable("i-9", start);
    const auto later = start + std::chrono::seconds(4);
    test.crashes.recordUnreachable("i-9", later);
    for (const char *instance : {"i-1", "i-2", "i-3"})
        test.crash(instance, "bad", later, later + milliseconds(30));
    test.crashes.decideCrashes(later + milliseconds(1200));
    cr_assert(test.crashes.isQuarantined("bad", later + milliseconds(1200)));
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
    test.crashes.recordCompleted("unlucky", start, start);
    test.crash("i-3", "unlucky");
    cr_assert(!test.crashes.isQuarantined("unlucky", start));
}

Test(crash_correlator, keeps_a_quarantined_request_quarantined_when_an_earlier_run_is_answered)
{
    CorrelatorFixture test;
    for (const char *instance : {"i-1", "i-2", "i-3"})
        test.crash(instance, "bad");
    test.crashes.recordCompleted("bad", start - std::chrono::seconds(1), start);
    cr_assert(test.crashes.isQuarantined("bad", start));
}

// Guards against a popular request being refused for an hour after three of the replicas that ran
// it were killed together, although the others answer it later.
Test(crash_correlator, ends_a_quarantine_after_crashes_at_once_when_a_run_of_that_time_is_answered)
{
    for (const bool isRemote : {false, true}) {
        CorrelatorFixture test;
        milliseconds reportedAge{0};
        test.crashes.setCompletionHook(
                [&reportedAge](const QByteArray &, milliseconds age) { reportedAge = age; });
        for (const char *instance : {"i-1", "i-2", "i-3"})
            test.crash(instance, "popular", start, start + milliseconds(400));
        const auto later = start + milliseconds(2000);
        test.crashes.decideCrashes(later);
        cr_assert(test.crashes.isQuarantined("popular", later));
        if (isRemote)
            test.crashes.addRemoteCompletion("popular", milliseconds(2000), later);
        else
            test.crashes.recordCompleted("popular", start, later);
        cr_assert(!test.crashes.isQuarantined("popular", later));
        cr_assert_eq(reportedAge.count(), isRemote ? 0 : 2000);
    }
}

// A request that has crashed replicas one after the other may be sound for replicas of another
// version, whose earlier runs must not end its quarantine.
Test(crash_correlator, ends_a_quarantine_after_separate_crashes_only_when_a_later_run_is_answered)
{
    CorrelatorFixture test;
    for (int round = 0; round < 3; ++round) {
        const auto at = start + std::chrono::seconds(round);
        test.crash("i-" + QByteArray::number(round), "bad", at, at + milliseconds(100));
    }
    const auto later = start + std::chrono::seconds(10);
    test.crashes.recordCompleted("bad", start, later);
    test.crashes.addRemoteCompletion("bad", std::chrono::seconds(9), later);
    test.crashes.addRemoteCompletion("bad", milliseconds(0), later); // of an unknown age
    cr_assert(test.crashes.isQuarantined("bad", later));
    test.crashes.recordCompleted("bad", start + std::chrono::seconds(5), later);
    cr_assert(!test.crashes.isQuarantined("bad", later));
}

// Guards against several requests that crash replicas taking back each other's crashes, when each
// of them crashes two replicas a try and their tries coincide.
Test(crash_correlator, quarantines_several_requests_that_crash_two_replicas_in_each_try)
{
    for (const int requests : {2, 3, 5}) {
        CorrelatorFixture test;
        for (int round = 0; round < 2; ++round) {
            const auto at = start + std::chrono::seconds(2) * round;
            for (int number = 0; number < 2 * requests; ++number) {
                const QByteArray digest = "bad-" + QByteArray::number(number % requests);
                const auto sentAt = at + milliseconds(40 * (number / requests) + number);
                test.crash("i-" + QByteArray::number(100 * round + number), digest, sentAt,
                           sentAt + milliseconds(30));
            }
            test.crashes.decideCrashes(at + milliseconds(1500));
        }
        const auto end = start + std::chrono::seconds(4);
        for (int number = 0; number < requests; ++number)
            cr_assert(test.crashes.isQuarantined("bad-" + QByteArray::number(number), end),
                      "%d of %d", number, requests);
    }
}

// The same when each try reaches one replica, and all tries coincide.
Test(crash_correlator, quarantines_several_requests_that_crash_one_replica_in_each_try)
{
    CorrelatorFixture test;
    for (int round = 0; round < 3; ++round) {
        const auto at = start + std::chrono::seconds(2) * round;
        for (int number = 0; number < 4; ++number)
            test.crash("i-" + QByteArray::number(100 * round + number),
                       "bad-" + QByteArray::number(number), at, at + milliseconds(30));
        test.crashes.decideCrashes(at + milliseconds(1500));
    }
    for (const char *digest : {"bad-0", "bad-1", "bad-2", "bad-3"})
        cr_assert(test.crashes.isQuarantined(digest, start + std::chrono::seconds(6)));
}

// Guards against a request that crashes replicas being sent on and on beside a replica that goes
// down and up for another reason.
Test(crash_correlator, quarantines_a_request_beside_a_replica_that_fails_again_and_again)
{
    CorrelatorFixture test;
    int crashes = 0;
    for (int tenth = 0; tenth < 300 && !test.crashes.isQuarantined("bad", start); ++tenth) {
        const auto now = start + milliseconds(100) * tenth;
        if (tenth % 14 == 0)
            test.crashes.recordUnreachable("flapping-" + QByteArray::number(tenth), now);
        if (tenth % 40 == 3 && !test.crashes.isQuarantined("bad", now))
            test.crash("i-" + QByteArray::number(++crashes), "bad", now, now + milliseconds(30));
        test.crashes.decideCrashes(now);
    }
    cr_assert_leq(crashes, 5);
    cr_assert(test.crashes.isQuarantined("bad", start + std::chrono::seconds(30)));
}

// Guards against other VMs taking the crash of a quarantined request for an idle replica's.
Test(crash_correlator, reports_the_crashes_of_a_quarantined_request)
{
    CorrelatorFixture test;
    for (const char *instance : {"i-1", "i-2", "i-3", "i-4"})
        test.crash(instance, "bad");
    cr_assert(test.crashes.isQuarantined("bad", start));
    cr_assert_eq(test.reported.size(), 4);
}

// Guards against equal inputs of other conversations being refused for the crashes of one.
Test(crash_correlator, quarantines_a_turn_but_not_its_content_in_other_conversations)
{
    CorrelatorFixture test;
    for (const char *instance : {"i-1", "i-2", "i-3"}) {
        test.crashes.recordBrokenConnection(instance, {"yes", 0, start, start, "bad turn"});
        test.crashes.recordUnreachable(instance, start + milliseconds(100));
    }
    cr_assert_eq(test.reported.size(), 3);
    cr_assert(test.crashes.isQuarantined("yes", start, "bad turn"));
    cr_assert(!test.crashes.isQuarantined("yes", start, "other turn"));
    cr_assert(!test.crashes.isQuarantined("yes", start));
    // The content is answered elsewhere, which does not clear the turn.
    test.crashes.recordCompleted("yes", start, start);
    cr_assert(test.crashes.isQuarantined("yes", start, "bad turn"));
}

// Guards against a request that crashes replicas being sent on when it comes again in another
// conversation.
Test(crash_correlator, quarantines_a_content_that_has_crashed_replicas_in_several_conversations)
{
    CorrelatorFixture test;
    test.crash("i-1", "bad");
    test.crashes.addRemoteCoincidence({"bad", QStringLiteral("i-2/0"), {}, {}, "turn"}, start);
    test.crashes.addRemoteCoincidence({"bad", QStringLiteral("i-3/0"), {}, {}, "turn"}, start);
    cr_assert(test.crashes.isQuarantined("bad", start, "other turn"));
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

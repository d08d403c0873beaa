#include "events/InvariantChecks.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;

/*
 * A check that cannot fail is a defect: each one is given a record that breaks its invariant and
 * one that keeps it.
 */

namespace {

const std::chrono::steady_clock::time_point start{1h};

CallerAttempt answered(const char *program, std::uint32_t number, const char *marker)
{
    CallerAttempt attempt;
    attempt.team = QStringLiteral("team");
    attempt.program = QString::fromLatin1(program);
    attempt.callNumber = number;
    attempt.marker = QString::fromLatin1(marker);
    attempt.outcome = AttemptOutcome::Answered;
    attempt.sent = start;
    attempt.ended = start;
    attempt.body = QByteArray("answer to ") + marker;
    return attempt;
}

CallerAttempt refused(const char *marker, const char *kind, const char *executed)
{
    CallerAttempt attempt = answered("", 0, marker);
    attempt.outcome = AttemptOutcome::Refused;
    attempt.errorKind = QString::fromLatin1(kind);
    attempt.executed = QString::fromLatin1(executed);
    return attempt;
}

BackendRun run(const char *request, std::chrono::milliseconds started)
{
    return {QStringLiteral("server"), QString(), request, started, started + 1ms};
}

} // namespace

Test(InvariantChecks, seeASecondRunOfANonIdempotentRequest)
{
    CallerAttempt booking = answered("p", 1, "m1");
    booking.idempotent = false;
    cr_assert(checkAtMostOnce({booking, booking}, {run("m1", 0ms)}).empty());
    cr_assert_not(checkAtMostOnce({booking}, {run("m1", 0ms), run("m1", 5ms)}).empty());
}

Test(InvariantChecks, seeAFalseNotRun)
{
    const CallerAttempt no = refused("m1", "rateLimited", "no");
    const CallerAttempt unknown = refused("m1", "executionUnknown", "unknown");
    cr_assert_not(checkNotRunIsTrue({no}, {run("m1", 0ms)}).empty());
    cr_assert(checkNotRunIsTrue({no}, {}).empty());
    cr_assert(checkNotRunIsTrue({no, unknown}, {run("m1", 0ms)}).empty());
}

Test(InvariantChecks, seeAnAnswerOfAnother)
{
    CallerAttempt foreign = answered("p", 1, "m1");
    foreign.body = "answer to m2";
    cr_assert_not(checkAnswersAreOwn({foreign}).empty());
    CallerAttempt changed = answered("p", 1, "m1");
    changed.body += " and more";
    cr_assert_not(checkAnswersAreOwn({answered("p", 1, "m1"), changed}).empty());
    cr_assert(checkAnswersAreOwn({answered("p", 1, "m1"), answered("p", 1, "m1")}).empty());
}

Test(InvariantChecks, seeACallThatOvertakes)
{
    const std::vector<CallerAttempt> calls{answered("p", 1, "m1"), answered("p", 2, "m2")};
    cr_assert(checkOrder(calls, {run("m1", 1ms), run("m1 m2", 2ms)}).empty());
    cr_assert_not(checkOrder(calls, {run("m1", 3ms), run("m2", 2ms)}).empty());
}

Test(InvariantChecks, seeALostOrMixedHistory)
{
    const std::vector<CallerAttempt> calls{answered("p", 1, "m1"), answered("p", 2, "m2"),
                                           answered("q", 1, "m3")};
    cr_assert(checkHistory(calls, QStringLiteral("p"), "m1 m2").empty());
    cr_assert_not(checkHistory(calls, QStringLiteral("p"), "m2").empty());
    cr_assert_not(checkHistory(calls, QStringLiteral("p"), "m2 m1").empty());
    cr_assert_not(checkHistory(calls, QStringLiteral("p"), "m1 m2 m3").empty());
}

Test(InvariantChecks, seeAKeyAtABackendServer)
{
    cr_assert_not(checkNoKeySeen({run("x-api-key: lk_a.b", 0ms)}, {"lk_a.b"}).empty());
    cr_assert(checkNoKeySeen({run("x: y", 0ms)}, {"lk_a.b"}).empty());
}

Test(InvariantChecks, seeARateThatIsPassed)
{
    std::vector<CallerAttempt> attempts;
    for (int index = 0; index < 12; ++index) {
        CallerAttempt attempt = answered("p", 1, "m");
        attempt.sent = start + index * 100ms;
        attempt.ended = attempt.sent;
        attempts.push_back(attempt);
    }
    cr_assert(checkRate(attempts, QStringLiteral("team"), 10, 2).empty());
    cr_assert_not(checkRate(attempts, QStringLiteral("team"), 5, 2).empty());
}

Test(InvariantChecks, seeARefusalWithoutATimeToReturn)
{
    CallerAttempt refusal = refused("m", "rateLimited", "no");
    cr_assert_not(checkRefusalsTellWhenToReturn({refusal}).empty());
    refusal.retryAfter = 5ms;
    cr_assert(checkRefusalsTellWhenToReturn({refusal}).empty());
    cr_assert_not(checkRefusalsTellWhenToReturn({refused("m", "madeUp", "no")}).empty());
}

#include "lacewingmux_core/protection/Quarantine.h"
#include "lacewingmux_scheduling/protection/AdmissionControl.h"
#include "lacewingmux_scheduling/protection/RetryBudget.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const TimerService::SteadyTime start{1000s};

} // namespace

Test(Quarantine, quarantinesContentAfterItsSecondCrashAndClearsItsNeighbour)
{
    Quarantine quarantine;
    quarantine.record({"culprit", QStringLiteral("r1#1")}, start);
    quarantine.record({"neighbour", QStringLiteral("r1#1")}, start);
    cr_assert(quarantine.verdict("culprit", start) == QuarantineVerdict::Suspect);
    cr_assert(quarantine.verdict("neighbour", start) == QuarantineVerdict::Suspect);
    cr_assert(quarantine.verdict("other", start) == QuarantineVerdict::Clear);
    quarantine.completed("neighbour");
    quarantine.record({"culprit", QStringLiteral("r2#1")}, start + 1s);
    cr_assert(quarantine.verdict("culprit", start + 1s) == QuarantineVerdict::Quarantined);
    cr_assert(quarantine.verdict("neighbour", start + 1s) == QuarantineVerdict::Clear);
    quarantine.completed("culprit");
    cr_assert(quarantine.verdict("culprit", start + 1s) == QuarantineVerdict::Quarantined);
}

Test(Quarantine, countsACrashReportedTwiceOnce)
{
    Quarantine quarantine;
    cr_assert(quarantine.record({"x", QStringLiteral("r1#1")}, start));
    cr_assert_not(quarantine.record({"x", QStringLiteral("r1#1")}, start + 1s));
    cr_assert(quarantine.verdict("x", start + 1s) == QuarantineVerdict::Suspect);
}

Test(Quarantine, expires)
{
    Quarantine quarantine;
    quarantine.record({"x", QStringLiteral("r1#1")}, start);
    quarantine.record({"x", QStringLiteral("r1#2")}, start);
    cr_assert(quarantine.retryAfter("x", start) == std::chrono::milliseconds(1h));
    cr_assert(quarantine.verdict("x", start + 61min) == QuarantineVerdict::Clear);
    cr_assert(quarantine.coincidences(start + 61min).empty());
    quarantine.record({"x", QStringLiteral("r1#3")}, start + 61min);
    cr_assert(quarantine.verdict("x", start + 61min) == QuarantineVerdict::Suspect);
}

Test(Quarantine, memoryIsBounded)
{
    QuarantineSettings settings;
    settings.maximumEntries = 100;
    Quarantine quarantine(settings);
    for (int index = 0; index < 5000; ++index)
        quarantine.record({QByteArray::number(index), QString::number(index)}, start);
    cr_assert_leq(quarantine.size(), 100);
    cr_assert(quarantine.verdict("4999", start) == QuarantineVerdict::Suspect);
}

Test(RetryBudget, boundsRetriesToARatioOfFreshCalls)
{
    RetryBudgetSettings settings;
    settings.retriesPerSecond = 0;
    RetryBudget budget(settings);
    int retries = 0;
    for (int call = 0; call < 1000; ++call) {
        budget.recordFirstAttempt(start);
        retries += budget.tryRetry(start) ? 1 : 0;
    }
    cr_assert_leq(retries, 1000 * 0.1 + 20);
    cr_assert_geq(retries, 1000 * 0.1);
}

Test(RetryBudget, timeAllowancePermitsRetriesOfAnIdlePool)
{
    RetryBudget budget;
    while (budget.tryRetry(start)) { }
    cr_assert_not(budget.tryRetry(start + 1s));
    cr_assert(budget.tryRetry(start + 2s));
}

Test(AdmissionControl, refusesACallExpectedToExceedItsQueueTimeout)
{
    AdmissionControl control;
    for (int call = 0; call <= 30; ++call)
        control.started(start + call * 1s, true);
    const auto shortWait = control.decide({10, 1, 30s});
    const auto longWait = control.decide({100, 1, 30s});
    cr_assert(shortWait.admitted);
    cr_assert_not(longWait.admitted);
    cr_assert_geq(longWait.retryAfter.count(), 60000);
    cr_assert_not(control.decide({20, 0.25, 30s}).admitted,
                  "the team share must be taken into account");
    cr_assert(control.decide({0, 0.01, 30s}).admitted,
              "a team without queued calls must be admitted");
}

Test(AdmissionControl, admitsUntilItHasMeasuredSaturation)
{
    AdmissionControl control;
    for (int call = 0; call <= 30; ++call)
        control.started(start + call * 10s, false);
    cr_assert(control.decide({1000, 0.1, 1s}).admitted);
}

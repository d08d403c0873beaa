#include "scenario/Scenario.h"

#include "deployment/EventLoopWait.h"
#include "events/InvariantChecks.h"

#include <QTimer>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using lacewingmux::standin::waitUntil;

/* A team that sends several times its rate, at all VMs of both zones, while a VM dies. */

namespace {

constexpr double requestsPerSecond = 40;
constexpr double burst = 20;
constexpr int overload = 5;

CallerRequestSpec cheapRequest(Scenario &scenario, const QString &vm, int number)
{
    CallerRequestSpec spec;
    spec.front = scenario.deployment().daemon(vm).callers();
    spec.path = QStringLiteral("/v1/programs");
    spec.body = "{}";
    spec.marker = QStringLiteral("request-%1").arg(number);
    return spec;
}

/** Sends at several times the rate for the duration, and waits for all outcomes. */
void flood(Scenario &scenario, TestCaller &caller, std::chrono::milliseconds duration)
{
    int number = 0;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
        const QStringList vms = Scenario::vms();
        caller.send(cheapRequest(scenario, vms.at(number % vms.size()), number), {});
        ++number;
    });
    timer.start(std::chrono::milliseconds(static_cast<int>(1000 / (requestsPerSecond * overload))));
    static_cast<void>(waitUntil([] { return false; }, duration));
    timer.stop();
    cr_assert(waitUntil([&caller] { return caller.pending() == 0; }, 120s));
}

int answersIn(const TestCaller &caller)
{
    int answers = 0;
    for (const CallerAttempt &attempt : caller.attempts())
        answers += attempt.outcome == AttemptOutcome::Answered ? 1 : 0;
    return answers;
}

} // namespace

Test(RateFailure, noTeamGetsMoreThanItsRateOverAllVms, .timeout = 300)
{
    Scenario scenario(requestsPerSecond, burst);
    TestCaller caller(Scenario::team(), scenario.key());
    flood(scenario, caller, 6s);
    assertNone(checkRate(caller.attempts(), Scenario::team(), requestsPerSecond, burst));
    assertNone(checkRefusalsTellWhenToReturn(caller.attempts()));
    // At least half of what it may have, or the limit would be held by refusing everything.
    cr_assert_gt(answersIn(caller), static_cast<int>(requestsPerSecond * 6 / 2));
}

Test(RateFailure, norWhileAVmDiesAndAnotherStandsStill, .timeout = 300)
{
    Scenario scenario(requestsPerSecond, burst);
    TestCaller caller(Scenario::team(), scenario.key());
    flood(scenario, caller, 2s);
    scenario.deployment().daemon(Scenario::vms().at(0)).process().kill();
    scenario.deployment().daemon(Scenario::vms().at(3)).process().pause();
    flood(scenario, caller, 3s);
    scenario.deployment().daemon(Scenario::vms().at(3)).process().resume();
    scenario.deployment().restart(Scenario::vms().at(0));
    flood(scenario, caller, 3s);
    assertNone(checkRate(caller.attempts(), Scenario::team(), requestsPerSecond, burst));
}

Test(RateFailure, norWhileAZoneIsCutOff, .timeout = 300)
{
    Scenario scenario(requestsPerSecond, burst);
    TestCaller caller(Scenario::team(), scenario.key());
    scenario.deployment().cutZone(Scenario::firstZone());
    for (const QString &vm : Scenario::vmsOf(Scenario::firstZone()))
        scenario.deployment().cutFromStore(vm);
    flood(scenario, caller, 4s);
    scenario.deployment().mendAll();
    flood(scenario, caller, 2s);
    assertNone(checkRate(caller.attempts(), Scenario::team(), requestsPerSecond, burst));
}

#include "scenario/ProgramWorkload.h"
#include "scenario/Scenario.h"

#include "deployment/EventLoopWait.h"

#include <QJsonObject>

#include <criterion/criterion.h>

#include <algorithm>

using namespace std::chrono_literals;
using lacewingmux::standin::waitUntil;

/* Keys that are withdrawn while their callers are connected. */

namespace {

CallerRequestSpec openProgramAt(Scenario &scenario, const QString &vm)
{
    CallerRequestSpec spec;
    spec.front = scenario.deployment().daemon(vm).callers();
    spec.path = QStringLiteral("/v1/programs");
    spec.body = "{}";
    return spec;
}

QString keyIdOf(const QByteArray &key)
{
    const qsizetype prefixLength = 3; // "lk_"
    return QString::fromLatin1(key.mid(prefixLength, key.indexOf('.') - prefixLength));
}

bool isRefusedFor(const CallerAttempt &attempt, const char *kind)
{
    return attempt.outcome == AttemptOutcome::Refused && attempt.errorKind == QLatin1String(kind);
}

/** Waits until every VM refuses the key; returns whether all did within the promised seconds. */
bool isWithdrawnEverywhere(Scenario &scenario, std::chrono::milliseconds bound)
{
    TestCaller caller(Scenario::team(), scenario.key());
    const QStringList vms = Scenario::vms();
    return waitUntil(
            [&] {
                return std::all_of(vms.begin(), vms.end(), [&](const QString &vm) {
                    return isRefusedFor(caller.sendAndWait(openProgramAt(scenario, vm)),
                                        "keyWithdrawn");
                });
            },
            bound);
}

} // namespace

Test(KeyFailure, aWithdrawnKeyStopsWorkingEverywhereWithinSeconds, .timeout = 300)
{
    Scenario scenario;
    TestCaller caller(Scenario::team(), scenario.key());
    for (const QString &vm : Scenario::vms())
        cr_assert_not(scenario.openProgram(caller, vm).isEmpty());
    scenario.deployment().runControl(
            {QStringLiteral("key"), QStringLiteral("withdraw"), keyIdOf(scenario.key())});
    cr_assert(isWithdrawnEverywhere(scenario, 9s));
}

Test(KeyFailure, aWithdrawalEndsACallThatStillRuns, .timeout = 300)
{
    Scenario scenario;
    TestCaller caller(Scenario::team(), scenario.key());
    for (const QString &engine : Scenario::engines())
        scenario.deployment().setBackendFaults(engine, {{QStringLiteral("hang"), true}});

    const QString vm = Scenario::vms().at(0);
    const QString program = scenario.openProgram(caller, vm);
    CallerRequestSpec spec = openProgramAt(scenario, vm);
    spec.path = QStringLiteral("/v1/programs/%1/calls/1").arg(program);
    spec.body = R"({"route":"assistant","messages":[{"role":"user","content":"wait"}]})";
    std::optional<CallerAttempt> result;
    caller.send(spec, [&result](const CallerAttempt &attempt) { result = attempt; });
    cr_assert_not(waitUntil([&result] { return result.has_value(); }, 500ms));

    scenario.deployment().runControl(
            {QStringLiteral("key"), QStringLiteral("withdraw"), keyIdOf(scenario.key())});
    cr_assert(waitUntil([&result] { return result.has_value(); }, 9s));
    cr_assert(isRefusedFor(*result, "keyWithdrawn"), "%s", result->body.constData());
}

Test(KeyFailure, aWithdrawalIsNotForgottenByAVmThatStartsAgain, .timeout = 300)
{
    Scenario scenario;
    scenario.deployment().runControl(
            {QStringLiteral("key"), QStringLiteral("withdraw"), keyIdOf(scenario.key())});
    cr_assert(isWithdrawnEverywhere(scenario, 60s));
    const QString vm = Scenario::vms().at(2);
    scenario.deployment().setStoreFaults({{QStringLiteral("down"), true}});
    scenario.deployment().daemon(vm).process().kill();
    scenario.deployment().restart(vm);
    // Without the store it hears of keys from its peers, or it takes none at all.
    TestCaller caller(Scenario::team(), scenario.key());
    for (int tries = 0; tries < 20; ++tries) {
        const CallerAttempt attempt = caller.sendAndWait(openProgramAt(scenario, vm));
        cr_assert(attempt.outcome != AttemptOutcome::Answered);
        static_cast<void>(waitUntil([] { return false; }, 100ms));
    }
}

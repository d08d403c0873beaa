#include "scenario/ProgramWorkload.h"
#include "scenario/Scenario.h"

#include "deployment/EventLoopWait.h"

#include <QJsonObject>

#include <criterion/criterion.h>

#include <algorithm>

using namespace std::chrono_literals;
using lacewingmux::standin::waitUntil;

/* Backend servers that die, leave, lose their answers or are killed by one request. */

namespace {

constexpr int programs = 12;

CallerRequestSpec postTo(Scenario &scenario, const QString &path, const QByteArray &body,
                         const QString &marker)
{
    CallerRequestSpec spec;
    spec.front = scenario.deployment().daemon(Scenario::vms().at(0)).callers();
    spec.path = path;
    spec.body = body;
    spec.marker = marker;
    return spec;
}

} // namespace

Test(BackendFailure, killedEnginesCostNoProgramItsAnswer, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, 12);
    workload.start();
    cr_assert(workload.runUntilAnswered(programs));
    scenario.deployment().backend(Scenario::engines().at(0)).kill();
    scenario.deployment().backend(Scenario::engines().at(2)).kill();
    cr_assert(workload.finish());
    cr_assert(workload.wrongRefusals().empty());
    workload.check();
}

Test(BackendFailure, aLostAnswerOfABookingIsUnknownAndNeverRunAgain, .timeout = 300)
{
    Scenario scenario;
    for (const QString &service : Scenario::services())
        scenario.deployment().setBackendFaults(service, {{QStringLiteral("loseAnswer"), true}});
    ProgramWorkload workload(scenario, programs, 4);
    workload.start();
    cr_assert(workload.finish());
    cr_assert_eq(workload.unknownCalls(), 2 * programs);
    cr_assert_eq(scenario.serviceRuns().size(), std::size_t{2} * programs);
    workload.check();
}

Test(BackendFailure, aLeavingEngineGetsNoNewWorkAfterAFewSeconds, .timeout = 300)
{
    Scenario scenario;
    const QString leaving = Scenario::engines().at(0);
    scenario.deployment().setBackendLeaving(leaving, true);
    static_cast<void>(waitUntil([] { return false; }, 3s));
    const qint64 runsBefore = scenario.engineRuns(leaving);
    ProgramWorkload workload(scenario, programs, 6);
    workload.start();
    cr_assert(workload.finish());
    cr_assert_eq(scenario.engineRuns(leaving), runsBefore);
    workload.check();
}

Test(BackendFailure, aRequestThatKillsItsServersIsStoppedAfterItsSecond, .timeout = 300)
{
    Scenario scenario;
    for (const QString &engine : Scenario::engines())
        scenario.deployment().setBackendFaults(
                engine, {{QStringLiteral("crashOnText"), QStringLiteral("poison")}});
    TestCaller caller(Scenario::team(), scenario.key());
    CallerAttempt last;
    for (int tries = 0; tries < 6; ++tries) {
        const QString program = scenario.openProgram(caller, Scenario::vms().at(1));
        CallerRequestSpec spec = postTo(
                scenario, QStringLiteral("/v1/programs/%1/calls/1").arg(program),
                R"({"route":"assistant","messages":[{"role":"user","content":"a poison pill"}]})",
                QStringLiteral("poison-%1").arg(tries));
        // Its caller sends it again, each time at another VM.
        const QString &vm = Scenario::vms().at(tries % Scenario::vms().size());
        spec.front = scenario.deployment().daemon(vm).callers();
        last = caller.sendAndWait(spec);
    }
    const QStringList engines = Scenario::engines();
    const auto dead = std::count_if(engines.begin(), engines.end(), [&](const QString &engine) {
        return !scenario.deployment().backend(engine).isRunning();
    });
    cr_assert_leq(dead, 2, "%d engines died", static_cast<int>(dead));
    cr_assert(last.errorKind == QLatin1String("quarantined"), "%s", last.body.constData());

    for (const QString &engine : engines) {
        if (!scenario.deployment().backend(engine).isRunning())
            scenario.deployment().restartBackend(engine);
    }
    ProgramWorkload workload(scenario, 4, 4);
    workload.start();
    cr_assert(workload.finish());
    workload.check();
}

Test(BackendFailure, anEndedProgramLeavesNoMemoryAtTheEngines, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, 4, 4);
    workload.start();
    cr_assert(workload.finish());
    TestCaller caller(Scenario::team(), scenario.key());
    for (const QString &program : workload.programIds()) {
        CallerRequestSpec spec = postTo(scenario, QStringLiteral("/v1/programs/") + program, {},
                                        QStringLiteral("end"));
        spec.method = "DELETE";
        cr_assert(caller.sendAndWait(spec).outcome == AttemptOutcome::Answered);
    }
    for (const QString &program : workload.programIds())
        cr_assert(waitUntil([&] { return scenario.tokensHeldFor(program) == 0; }, 60s));
}

#include "scenario/ProgramWorkload.h"
#include "scenario/Scenario.h"

#include "deployment/EventLoopWait.h"

#include <QTcpSocket>

#include <criterion/criterion.h>

using namespace std::chrono_literals;

/*
 * VMs that die, stand still or stop as planned while programs run. Each test checks all invariants
 * of programs: at most once, true refusals, own answers, order, histories.
 */

namespace {

constexpr int programs = 12;
constexpr std::uint32_t calls = 8;

long long millisecondsOf(const CallerAttempt &attempt)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(attempt.ended - attempt.sent)
            .count();
}

} // namespace

Test(VmFailure, programsRunThroughInCalm, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, calls);
    workload.start();
    cr_assert(workload.finish());
    cr_assert_eq(workload.answeredCalls(), programs * static_cast<int>(calls));
    cr_assert_eq(workload.unknownCalls(), 0);
    workload.check();
}

Test(VmFailure, aKilledVmLosesNothing, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, calls);
    workload.start();
    cr_assert(workload.runUntilAnswered(programs));
    scenario.deployment().daemon(Scenario::vms().at(0)).process().kill();
    cr_assert(workload.finish());
    cr_assert(workload.wrongRefusals().empty());
    workload.check();
}

Test(VmFailure, eachVmKilledInTurnAndStartedAgainLosesNothing, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, 24);
    workload.start();
    int answered = programs;
    for (const QString &vm : Scenario::vms()) {
        cr_assert(workload.runUntilAnswered(answered));
        scenario.deployment().daemon(vm).process().kill();
        answered += 2 * programs;
        cr_assert(workload.runUntilAnswered(answered));
        scenario.deployment().restart(vm);
        cr_assert(scenario.deployment().waitUntilReady(vm, 60s));
        answered += programs;
    }
    cr_assert(workload.finish());
    cr_assert(workload.wrongRefusals().empty());
    workload.check();
}

Test(VmFailure, aVmThatStandsStillAndGoesOnRunsNothingTwice, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, 16);
    workload.start();
    cr_assert(workload.runUntilAnswered(programs));
    const QString paused = Scenario::vms().at(1);
    scenario.deployment().daemon(paused).process().pause();
    cr_assert(workload.runUntilAnswered(4 * programs));
    scenario.deployment().daemon(paused).process().resume();
    cr_assert(workload.finish());
    cr_assert(workload.wrongRefusals().empty());
    workload.check();
}

Test(VmFailure, aPlannedStopCutsOffNothing, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, 16);
    workload.start();
    cr_assert(workload.runUntilAnswered(programs));
    const QString stopping = Scenario::vms().at(0);
    lacewingmux::standin::DaemonProcess &daemon = scenario.deployment().daemon(stopping);
    daemon.process().terminate();
    // The balancer sends nothing more to a VM that says it is not ready.
    cr_assert(lacewingmux::standin::waitUntil([&] { return !daemon.isReady(); }, 60s));
    QStringList others = Scenario::vms();
    others.removeAll(stopping);
    workload.useVms(others);
    cr_assert(workload.finish());
    const auto exitCode = daemon.process().waitForExit(120s);
    cr_assert(exitCode.has_value());
    cr_assert_eq(*exitCode, 0);
    for (const CallerAttempt &attempt : workload.attempts())
        cr_assert(attempt.outcome != AttemptOutcome::Broken,
                  "%s was cut off, or not answered in time, after %lld ms with status %d",
                  attempt.marker.toUtf8().constData(), millisecondsOf(attempt), attempt.httpStatus);
    for (const CallerAttempt &refused : workload.wrongRefusals())
        cr_assert_fail("%s was refused for good: %s", refused.marker.toUtf8().constData(),
                       refused.body.constData());
    workload.check();
}

Test(VmFailure, aStoppingVmAnnouncesTheCloseOfItsConnectionsFromTheBeginning, .timeout = 300)
{
    Scenario scenario;
    lacewingmux::standin::DaemonProcess &daemon =
            scenario.deployment().daemon(Scenario::vms().at(0));
    QTcpSocket caller;
    caller.connectToHost(daemon.callers().host(), static_cast<quint16>(daemon.callers().port()));
    cr_assert(lacewingmux::standin::waitUntil(
            [&] { return caller.state() == QAbstractSocket::ConnectedState; }, 60s));
    daemon.process().terminate();
    cr_assert(lacewingmux::standin::waitUntil([&] { return !daemon.isReady(); }, 60s));
    caller.write("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    QByteArray received;
    cr_assert(lacewingmux::standin::waitUntil(
            [&] {
                received += caller.readAll();
                return received.contains("\r\n\r\n");
            },
            60s));
    cr_assert(received.contains("Connection: close\r\n"), "%s", received.constData());
}

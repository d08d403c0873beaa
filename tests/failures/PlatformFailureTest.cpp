#include "scenario/ProgramWorkload.h"
#include "scenario/Scenario.h"

#include "deployment/EventLoopWait.h"

#include <QJsonObject>

#include <criterion/criterion.h>

using namespace std::chrono_literals;

/*
 * Outages of the platform's store and cut zones while programs run, alone and together with the
 * death of a VM.
 */

namespace {

constexpr int programs = 12;

const QJsonObject storeDown{{QStringLiteral("down"), true}};

} // namespace

Test(PlatformFailure, programsGoOnWhileTheStoreIsDown, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, 12);
    workload.start();
    cr_assert(workload.runUntilAnswered(programs));
    scenario.deployment().setStoreFaults(storeDown);
    cr_assert(workload.finish());
    cr_assert_eq(workload.unknownCalls(), 0);
    cr_assert(workload.wrongRefusals().empty());
    workload.check();
}

Test(PlatformFailure, aVmDiesWhileTheStoreIsDownAndNothingRunsTwice, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, 12);
    workload.start();
    cr_assert(workload.runUntilAnswered(programs));
    scenario.deployment().setStoreFaults(storeDown);
    scenario.deployment().daemon(Scenario::vms().at(0)).process().kill();
    static_cast<void>(lacewingmux::standin::waitUntil([] { return false; }, 4s));
    scenario.deployment().setStoreFaults({});
    cr_assert(workload.finish());
    cr_assert(workload.wrongRefusals().empty());
    workload.check();
}

Test(PlatformFailure, aZoneCutOffGoesOnWithItsOwnPrograms, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, 16);
    workload.start();
    cr_assert(workload.runUntilAnswered(programs));
    const QString cut = Scenario::firstZone();
    scenario.deployment().cutZone(cut);
    for (const QString &vm : Scenario::vmsOf(cut))
        scenario.deployment().cutFromStore(vm);
    const int before = workload.answeredCalls();
    cr_assert(workload.runUntilAnswered(before + 2 * programs));
    scenario.deployment().mendAll();
    cr_assert(workload.finish());
    cr_assert(workload.wrongRefusals().empty());
    workload.check();
}

Test(PlatformFailure, aZoneIsCutOffAndAVmOfItDies, .timeout = 300)
{
    Scenario scenario;
    ProgramWorkload workload(scenario, programs, 12);
    workload.start();
    cr_assert(workload.runUntilAnswered(programs));
    const QString cut = Scenario::firstZone();
    scenario.deployment().cutZone(cut);
    for (const QString &vm : Scenario::vmsOf(cut))
        scenario.deployment().cutFromStore(vm);
    scenario.deployment().daemon(Scenario::vmsOf(cut).at(0)).process().kill();
    static_cast<void>(lacewingmux::standin::waitUntil([] { return false; }, 3s));
    scenario.deployment().mendAll();
    cr_assert(workload.finish());
    cr_assert(workload.wrongRefusals().empty());
    workload.check();
}

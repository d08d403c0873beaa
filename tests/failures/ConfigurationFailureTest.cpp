#include "scenario/Scenario.h"

#include "deployment/EventLoopWait.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using lacewingmux::standin::waitUntil;

/* A revision of the configuration that must be in force everywhere and stay so. */

namespace {

const QString newRoute = QStringLiteral("added-later");

/** Tells whether the VM knows the route: an unknown one is refused before anything else. */
bool knowsRoute(Scenario &scenario, const QString &vm)
{
    CallerRequestSpec spec;
    spec.front = scenario.deployment().daemon(vm).callers();
    spec.method = "GET";
    spec.path = QStringLiteral("/v1/services/%1/anything").arg(newRoute);
    TestCaller caller(Scenario::team(), scenario.key());
    const CallerAttempt attempt = caller.sendAndWait(spec);
    return attempt.httpStatus != 0 && attempt.errorKind != QLatin1String("unknownRoute")
           && attempt.errorKind != QLatin1String("unauthenticated");
}

} // namespace

Test(ConfigurationFailure, anAcceptedRevisionIsInForceEverywhereOnceTheCommandEnds, .timeout = 300)
{
    Scenario scenario;
    for (const QString &vm : Scenario::vms())
        cr_assert_not(knowsRoute(scenario, vm));
    scenario.deployment().applyConfiguration(Scenario::configurationWithRoute(newRoute), 1, true);
    for (const QString &vm : Scenario::vms())
        cr_assert(knowsRoute(scenario, vm), "%s", qPrintable(vm));
}

Test(ConfigurationFailure, ofTwoOperatorsOneIsToldOfTheConflict, .timeout = 300)
{
    Scenario scenario;
    scenario.deployment().applyConfiguration(Scenario::configurationWithRoute(newRoute), 1, false);
    cr_assert_throw(scenario.deployment().applyConfiguration(
                            Scenario::configurationWithRoute(QStringLiteral("other")), 1, false),
                    lacewingmux::LacewingmuxError);
}

Test(ConfigurationFailure, aVmThatStartsDuringAnOutageDoesNotRevertIt, .timeout = 300)
{
    Scenario scenario;
    scenario.deployment().applyConfiguration(Scenario::configurationWithRoute(newRoute), 1, true);
    const QString vm = Scenario::vms().at(0);
    scenario.deployment().setStoreFaults({{QStringLiteral("down"), true}});
    scenario.deployment().daemon(vm).process().kill();
    scenario.deployment().restart(vm);
    cr_assert(waitUntil([&] { return knowsRoute(scenario, vm); }, 60s));
    scenario.deployment().setStoreFaults({});
    for (int look = 0; look < 20; ++look) {
        for (const QString &each : Scenario::vms())
            cr_assert(knowsRoute(scenario, each), "%s reverted", qPrintable(each));
    }
}

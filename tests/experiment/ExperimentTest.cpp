#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_experiment/policy/Policy.h"
#include "lacewingmux_experiment/results/BarPlot.h"
#include "lacewingmux_experiment/results/Measures.h"
#include "lacewingmux_experiment/simulation/ExperimentRunner.h"
#include "lacewingmux_experiment/simulation/PrefixCache.h"
#include "lacewingmux_experiment/simulation/Simulation.h"
#include "lacewingmux_experiment/workload/WorkloadReader.h"

#include <QFile>

#include <criterion/criterion.h>

#include <algorithm>

using namespace lacewingmux;
using namespace lacewingmux::experiment;

namespace {

Workload shortWorkload(const char *file, std::size_t scenario)
{
    QFile json(QStringLiteral(LACEWINGMUX_SOURCE_DIR
                              "/programs/lacewingmux-experiment/workloads/%1.json")
                       .arg(QLatin1String(file)));
    cr_assert(json.open(QIODevice::ReadOnly));
    Workload workload = readScenarios(json.readAll()).at(scenario);
    workload.duration = std::chrono::seconds(60);
    return workload;
}

} // namespace

Test(Simulation, aRunIsReproducedByItsSeed)
{
    const Workload workload = shortWorkload("akwaaba", 0);
    const Policy policy = fullPolicy();
    const Measures first = measure(Simulation(workload, policy, 7).run(), workload);
    const Measures again = measure(Simulation(workload, policy, 7).run(), workload);
    const Measures other = measure(Simulation(workload, policy, 8).run(), workload);
    cr_assert_eq(first.latency.percentile95, again.latency.percentile95);
    cr_assert_eq(first.recomputedTokens, again.recomputedTokens);
    cr_assert_neq(first.latency.percentile95, other.latency.percentile95);
}

Test(Simulation, everyProgramEndsUnderEitherPolicyAndNoneBeatsItsTimeAlone)
{
    const Workload workload = shortWorkload("cabinas-andinas", 0);
    for (const Policy &policy : {naivePolicy(), fullPolicy()}) {
        const RunResult result = Simulation(workload, policy, 3).run();
        cr_assert_gt(result.programs.size(), 50);
        for (const ProgramResult &program : result.programs) {
            cr_assert(program.completed, "%s", qPrintable(policy.name));
            cr_assert_geq(program.makespan.count(), program.alone.count());
        }
    }
}

Test(Simulation, aPoisonedProgramCrashesTwoReplicasAndNoMore)
{
    Workload workload = shortWorkload("akwaaba", 0);
    workload.poisonedPrograms = 1;
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        cr_assert_leq(Simulation(workload, fullPolicy(), seed).run().crashes, 2, "seed %lu", seed);
    cr_assert_gt(Simulation(workload, naivePolicy(), 1).run().crashes, 2);
}

Test(ExperimentRunner, theResultDoesNotDependOnTheThreads)
{
    const Workload workload = shortWorkload("cabinas-andinas", 0);
    ExperimentSettings settings;
    settings.seeds = 2;
    settings.jobs = 1;
    const ScenarioResult one = runScenario(workload, {naivePolicy()}, settings);
    settings.jobs = 2;
    const ScenarioResult two = runScenario(workload, {naivePolicy()}, settings);
    for (std::size_t seed = 0; seed < 2; ++seed)
        cr_assert_eq(one.policies[0].bySeed[seed].latency.percentile95,
                     two.policies[0].bySeed[seed].latency.percentile95);
}

Test(WorkloadReader, refusesWhatIsMissingOrWrong)
{
    for (const char *json : {"", "{}", "{\"scenarios\": [{}]}", "{\"scenarios\": [{\"name\": 1}]}",
                             "{\"scenarios\": [{\"name\": \"calm\"}]}"})
        cr_assert_throw(static_cast<void>(readScenarios(json)), LacewingmuxError, "%s", json);
}

Test(PrefixCache, theLeastRecentlyUsedGivesWay)
{
    PrefixCache cache;
    cache.put(1, 100);
    cache.put(2, 100);
    cache.put(1, 120);
    std::vector<ProgramNumber> evicted;
    cache.shrinkTo(150, [&evicted](ProgramNumber program) { evicted.push_back(program); });
    cr_assert(evicted == std::vector<ProgramNumber>{2});
    cr_assert_eq(cache.size(), 120);
    cr_assert_eq(cache.take(1), 120);
    cr_assert_eq(cache.take(1), 0);
    cr_assert_eq(cache.size(), 0);
}

Test(Spread, ratiosArePairedBySeed)
{
    const Spread spread = spreadOfRatios({1, 4, 0}, {2, 4, 0});
    cr_assert_float_eq(spread.least, 0.5, 1e-9);
    cr_assert_float_eq(spread.greatest, 1, 1e-9);
    cr_assert_eq(spreadOf({}).mean, 0);
}

Test(BarPlot, escapesItsTexts)
{
    BarPlot plot(QStringLiteral("a < b"));
    plot.addBar(QStringLiteral("c & d"), {0.5, 0.4, 0.6});
    const QString svg = plot.toSvg();
    cr_assert(svg.contains(QStringLiteral("a &lt; b")));
    cr_assert(svg.contains(QStringLiteral("c &amp; d")));
    cr_assert(svg.endsWith(QStringLiteral("</svg>\n")));
}

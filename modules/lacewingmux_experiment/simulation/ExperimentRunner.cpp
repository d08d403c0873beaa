#include "lacewingmux_experiment/simulation/ExperimentRunner.h"

#include "lacewingmux_experiment/simulation/Simulation.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace lacewingmux::experiment {

ScenarioResult runScenario(const Workload &workload, const std::vector<Policy> &policies,
                           const ExperimentSettings &settings)
{
    const auto seeds = static_cast<std::size_t>(settings.seeds);
    ScenarioResult result{workload, {}};
    for (const Policy &policy : policies)
        result.policies.push_back({policy.name, std::vector<Measures>(seeds)});
    std::atomic<std::size_t> nextRun{0};
    const auto work = [&] {
        for (std::size_t run = nextRun++; run < policies.size() * seeds; run = nextRun++) {
            const std::size_t policy = run / seeds;
            const std::size_t seed = run % seeds;
            Simulation simulation(workload, policies[policy], settings.firstSeed + seed);
            result.policies[policy].bySeed[seed] = measure(simulation.run(), workload);
        }
    };
    std::vector<std::thread> threads;
    for (int job = 0; job < std::max(1, settings.jobs); ++job)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
    return result;
}

} // namespace lacewingmux::experiment

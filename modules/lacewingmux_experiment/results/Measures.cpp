#include "lacewingmux_experiment/results/Measures.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace lacewingmux::experiment {

namespace {

using Filter = std::function<bool(const ProgramResult &)>;
using Duration = std::function<double(const ProgramResult &)>;

double makespanSeconds(const ProgramResult &program, const Workload &workload)
{
    const std::chrono::duration<double> longest = workload.longestRun();
    return program.completed ? std::chrono::duration<double>(program.makespan).count()
                             : longest.count();
}

double quantile(const std::vector<double> &sorted, double part)
{
    if (sorted.empty())
        return 0;
    const double position = part * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(position))];
}

LatencyMeasure latencyOf(const RunResult &result, const Duration &duration, const Filter &filter)
{
    std::vector<double> seconds;
    for (const ProgramResult &program : result.programs)
        if (!program.poisoned && filter(program))
            seconds.push_back(duration(program));
    std::sort(seconds.begin(), seconds.end());
    return {quantile(seconds, 0.5), quantile(seconds, 0.95)};
}

double slowdownOfTeam(const RunResult &result, const Workload &workload, std::size_t team)
{
    double sum = 0;
    double count = 0;
    for (const ProgramResult &program : result.programs) {
        if (program.poisoned || program.teamIndex != team)
            continue;
        sum += makespanSeconds(program, workload)
               / std::chrono::duration<double>(program.alone).count();
        count += 1;
    }
    return count > 0 ? sum / count : 1;
}

} // namespace

Measures measure(const RunResult &result, const Workload &workload)
{
    Measures measures;
    const auto every = [](const ProgramResult &) { return true; };
    const auto makespan = [&workload](const ProgramResult &program) {
        return makespanSeconds(program, workload);
    };
    measures.latency = latencyOf(result, makespan, every);
    for (std::size_t index = 0; index < workload.classes.size(); ++index)
        measures.latencyOfClass.push_back(
                latencyOf(result, makespan, [index](const ProgramResult &program) {
                    return program.classIndex == index;
                }));
    measures.latencyWithinRate =
            latencyOf(result, makespan, [&workload](const ProgramResult &program) {
                return workload.teams[program.teamIndex].name != workload.surgeTeam;
            });
    measures.latencyWithoutPauses = latencyOf(
            result,
            [&makespan](const ProgramResult &program) {
                return makespan(program) - std::chrono::duration<double>(program.pauses).count();
            },
            every);
    measures.recomputedTokens = static_cast<double>(result.recomputedTokens);
    measures.pausedTokenSeconds = result.pausedTokenSeconds;
    measures.endedTokenSeconds = result.endedTokenSeconds;
    for (std::size_t team = 0; team < workload.teams.size(); ++team)
        if (workload.teams[team].name != workload.surgeTeam)
            measures.worstTeamSlowdown =
                    std::max(measures.worstTeamSlowdown, slowdownOfTeam(result, workload, team));
    if (result.callsWithinRate > 0)
        measures.wrongfulRefusalPart = static_cast<double>(result.refusalsWithinRate)
                                       / static_cast<double>(result.callsWithinRate);
    measures.crashes = static_cast<double>(result.crashes);
    for (const ProgramResult &program : result.programs)
        measures.unfinishedPrograms += program.completed || program.poisoned ? 0 : 1;
    return measures;
}

} // namespace lacewingmux::experiment

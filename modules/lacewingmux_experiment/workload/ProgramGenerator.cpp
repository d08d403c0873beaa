#include "lacewingmux_experiment/workload/ProgramGenerator.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux::experiment {

namespace {

constexpr int samplesForMean = 1000;
constexpr double pauseSpread = 0.8; ///< standard deviation of the logarithm of a pause

} // namespace

ProgramGenerator::ProgramGenerator(const Workload &source, std::uint64_t seed)
    : workload(source)
    , random(seed)
{ }

std::vector<ProgramPlan> ProgramGenerator::programs()
{
    std::vector<ProgramPlan> programs;
    for (std::size_t pool = 0; pool < this->workload.pools.size(); ++pool)
        this->addArrivals(pool, programs);
    std::sort(programs.begin(), programs.end(),
              [](const ProgramPlan &left, const ProgramPlan &right) {
                  return left.arrival < right.arrival;
              });
    const std::size_t stride =
            programs.size() / (static_cast<std::size_t>(this->workload.poisonedPrograms) + 1);
    for (int index = 1; index <= this->workload.poisonedPrograms; ++index)
        programs[stride * static_cast<std::size_t>(index)].poisoned = true;
    return programs;
}

ProgramPlan ProgramGenerator::drawProgram(std::size_t classIndex)
{
    const ProgramClassSpec &spec = this->workload.classes[classIndex];
    ProgramPlan program;
    program.classIndex = classIndex;
    for (std::size_t pool = 0; pool < this->workload.pools.size(); ++pool)
        if (this->workload.pools[pool].name == spec.pool)
            program.poolIndex = pool;
    program.turns = this->drawTurns(spec, spec.turns);
    return program;
}

std::vector<TurnPlan> ProgramGenerator::drawTurns(const ProgramClassSpec &spec,
                                                  const IntegerRange &turnCount)
{
    const std::int64_t count = this->drawFrom(turnCount);
    std::lognormal_distribution<double> pauseFactor(-pauseSpread * pauseSpread / 2, pauseSpread);
    std::bernoulli_distribution callsHelpers(spec.helperProbability);
    std::vector<TurnPlan> turns;
    for (std::int64_t index = 0; index < count; ++index) {
        TurnPlan turn;
        turn.newTokens = this->drawFrom(index == 0 ? spec.firstPromptTokens : spec.turnTokens);
        turn.outputTokens = this->drawFrom(spec.outputTokens);
        if (index + 1 < count) {
            const std::chrono::duration<double, std::micro> pause =
                    std::chrono::microseconds(spec.meanPause) * pauseFactor(this->random);
            turn.pauseAfter = std::chrono::duration_cast<std::chrono::microseconds>(pause);
            if (callsHelpers(this->random)) {
                for (int helper = 0; helper < spec.helperCount; ++helper) {
                    ProgramClassSpec plain = spec;
                    plain.helperProbability = 0;
                    turn.helpers.emplace_back().turns = this->drawTurns(plain, spec.helperTurns);
                }
            }
        }
        turns.push_back(std::move(turn));
    }
    return turns;
}

std::int64_t ProgramGenerator::drawFrom(const IntegerRange &range)
{
    return std::uniform_int_distribution<std::int64_t>(range.minimum, range.maximum)(this->random);
}

std::size_t ProgramGenerator::drawClass(const QString &pool)
{
    std::vector<double> parts;
    for (const ProgramClassSpec &spec : this->workload.classes)
        parts.push_back(spec.pool == pool ? spec.part : 0);
    return std::discrete_distribution<std::size_t>(parts.begin(), parts.end())(this->random);
}

double ProgramGenerator::meanEngineSeconds(std::size_t poolIndex)
{
    const PoolSpec &pool = this->workload.pools[poolIndex];
    double sum = 0;
    for (int sample = 0; sample < samplesForMean; ++sample)
        sum += engineSeconds(this->drawProgram(this->drawClass(pool.name)), pool);
    return sum / samplesForMean;
}

void ProgramGenerator::addArrivals(std::size_t poolIndex, std::vector<ProgramPlan> &programs)
{
    const PoolSpec &pool = this->workload.pools[poolIndex];
    std::vector<double> rates;
    double offered = 0;
    double sharesInAll = 0;
    std::size_t vms = 0;
    for (const TeamSpec &team : this->workload.teams) {
        const bool surges = team.name == this->workload.surgeTeam;
        rates.push_back(team.share * (surges ? this->workload.surgeFactor : 1));
        offered += rates.back();
        sharesInAll += team.share;
    }
    for (const ZoneSpec &zone : this->workload.zones)
        vms += static_cast<std::size_t>(zone.vms);
    const double perSecond = this->workload.load * pool.replicas
                             / this->meanEngineSeconds(poolIndex) * offered / sharesInAll;
    std::exponential_distribution<double> interval(perSecond);
    std::discrete_distribution<std::size_t> team(rates.begin(), rates.end());
    std::uniform_int_distribution<std::size_t> vm(0, vms - 1);
    const double end = std::chrono::duration<double>(this->workload.duration).count();
    for (double at = interval(this->random); at < end; at += interval(this->random)) {
        ProgramPlan program = this->drawProgram(this->drawClass(pool.name));
        program.arrival = std::chrono::microseconds(static_cast<std::int64_t>(at * 1e6));
        program.teamIndex = team(this->random);
        program.vmIndex = vm(this->random);
        programs.push_back(std::move(program));
    }
}

double engineSeconds(const ProgramPlan &program, const PoolSpec &pool)
{
    const double stepSeconds =
            std::chrono::duration<double>(pool.stepBase + pool.stepPerSequence * pool.capacity)
                    .count();
    const double prefillSeconds = std::chrono::duration<double>(pool.prefillPerToken).count();
    double seconds = 0;
    std::int64_t history = 0;
    for (const TurnPlan &turn : program.turns) {
        history += turn.newTokens;
        seconds += static_cast<double>(history) * prefillSeconds
                   + static_cast<double>(turn.outputTokens) * stepSeconds / pool.capacity;
        history += turn.outputTokens;
        for (const ProgramPlan &helper : turn.helpers)
            seconds += engineSeconds(helper, pool);
    }
    return seconds;
}

std::chrono::microseconds latencyAlone(const ProgramPlan &program, const PoolSpec &pool)
{
    std::chrono::microseconds latency{0};
    for (const TurnPlan &turn : program.turns) {
        latency += turn.newTokens * pool.prefillPerToken
                   + turn.outputTokens * (pool.stepBase + pool.stepPerSequence);
        std::chrono::microseconds pause = turn.pauseAfter;
        for (const ProgramPlan &helper : turn.helpers)
            pause = std::max(pause, latencyAlone(helper, pool));
        latency += pause;
    }
    return latency;
}

std::chrono::microseconds pausesOf(const ProgramPlan &program)
{
    std::chrono::microseconds pauses{0};
    for (const TurnPlan &turn : program.turns)
        pauses += turn.pauseAfter;
    return pauses;
}

} // namespace lacewingmux::experiment

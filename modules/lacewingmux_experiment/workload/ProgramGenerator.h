#pragma once

#include "lacewingmux_experiment/workload/ProgramPlan.h"
#include "lacewingmux_experiment/workload/Workload.h"

#include <random>
#include <vector>

namespace lacewingmux::experiment {

/** Draws the programs of a run from its seed, the same for every policy. */
class ProgramGenerator
{
public:
    ProgramGenerator(const Workload &source, std::uint64_t seed);

    /** Returns all programs by the time of their arrival. */
    [[nodiscard]] std::vector<ProgramPlan> programs();

private:
    [[nodiscard]] ProgramPlan drawProgram(std::size_t classIndex);
    [[nodiscard]] std::vector<TurnPlan> drawTurns(const ProgramClassSpec &spec,
                                                  const IntegerRange &turnCount);
    [[nodiscard]] std::int64_t drawFrom(const IntegerRange &range);
    [[nodiscard]] std::size_t drawClass(const QString &pool);
    [[nodiscard]] double meanEngineSeconds(std::size_t poolIndex);
    void addArrivals(std::size_t poolIndex, std::vector<ProgramPlan> &programs);

    const Workload &workload;
    std::mt19937_64 random;
};

/** Returns how long an engine is busy with the program at full batches if it computes every
    prompt in full. */
[[nodiscard]] double engineSeconds(const ProgramPlan &program, const PoolSpec &pool);

/** Returns how long the program takes from its first call to its last answer when it has the
    engines to itself and finds its whole history cached. */
[[nodiscard]] std::chrono::microseconds latencyAlone(const ProgramPlan &program,
                                                     const PoolSpec &pool);

/** Returns the pauses of the program's own turns. */
[[nodiscard]] std::chrono::microseconds pausesOf(const ProgramPlan &program);

} // namespace lacewingmux::experiment

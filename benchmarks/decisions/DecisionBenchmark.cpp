#include "DecisionFixtures.h"

#include <benchmark/benchmark.h>

namespace {

using namespace lacewingmux;

/** Takes the next call from the queue. Arguments: number of waiting programs, number of teams. */
void orderOfWork(benchmark::State &state)
{
    QueueFixture fixture(state.range(0), state.range(1));
    for (auto iteration : state)
        fixture.decide();
}

/** Chooses a replica and records the start and end of the call. Argument: replicas in the pool. */
void choiceOfReplica(benchmark::State &state)
{
    ChooserFixture fixture(state.range(0));
    for (auto iteration : state)
        fixture.decide();
}

/** Looks up a content digest in the quarantine. Argument: number of recorded contents. */
void quarantineLookup(benchmark::State &state)
{
    QuarantineFixture fixture(state.range(0));
    for (auto iteration : state)
        benchmark::DoNotOptimize(fixture.decide());
}

/** Finds and updates the prefix of a program. Argument: number of programs in the directory. */
void prefixLookup(benchmark::State &state)
{
    DirectoryFixture fixture(state.range(0));
    for (auto iteration : state)
        fixture.decide();
}

} // namespace

BENCHMARK(orderOfWork)->ArgsProduct({{1000, 10000, 100000, 1000000}, {8, 80, 1300}});
BENCHMARK(choiceOfReplica)->Arg(15)->Arg(690)->Arg(6900);
BENCHMARK(quarantineLookup)->Arg(100)->Arg(1000)->Arg(10000);
BENCHMARK(prefixLookup)->RangeMultiplier(10)->Range(1000, 1000000);

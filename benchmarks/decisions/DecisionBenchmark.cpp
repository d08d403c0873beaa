#include "DecisionFixtures.h"

#include <benchmark/benchmark.h>

namespace {

using namespace lacewingmux;

/** Taking the next call, by programs that wait and teams. */
void orderOfWork(benchmark::State &state)
{
    QueueFixture fixture(state.range(0), state.range(1));
    for (auto iteration : state)
        fixture.decide();
}

/** Choosing a replica and counting the call there, by replicas of the pool. */
void choiceOfReplica(benchmark::State &state)
{
    ChooserFixture fixture(state.range(0));
    for (auto iteration : state)
        fixture.decide();
}

/** Looking a content up in the quarantine, by contents held. */
void quarantineLookup(benchmark::State &state)
{
    QuarantineFixture fixture(state.range(0));
    for (auto iteration : state)
        benchmark::DoNotOptimize(fixture.decide());
}

/** Finding and renewing a program's prefix, by programs known. */
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

#include "zone/JournalZone.h"

#include <benchmark/benchmark.h>

namespace {

using namespace lacewingmux;

const QString firstVm = QStringLiteral("a");
const QString secondVm = QStringLiteral("b");
const QString joiner = QStringLiteral("c");

constexpr int recordBytes = 500;

AggregateId programAt(std::int64_t number)
{
    return {AggregateKind::Program, QStringLiteral("z"), QString::number(number)};
}

/** Fills a zone of two VMs with an average number of records per slot. */
void fill(JournalZone &zone, std::int64_t recordsPerSlot)
{
    const SlotIndex slotCount = zone.settings.slotCount;
    zone.start(firstVm);
    zone.start(secondVm);
    zone.changeTo({firstVm, secondVm});
    const QByteArray entry(recordBytes, 'x');
    for (std::int64_t number = 0; number < recordsPerSlot * slotsPerZone; ++number) {
        const AggregateId id = programAt(number);
        if (id.slot() < slotCount)
            zone.owner(id.slot()).append(id, entry, {});
    }
    zone.advanceTime(std::chrono::milliseconds(10));
}

/** Acknowledged appends, batched by the argument in one turn of the event loop. */
void appendWithAck(benchmark::State &state)
{
    JournalZone zone;
    fill(zone, 0);
    const QByteArray entry(recordBytes, 'x');
    std::int64_t committed = 0;
    for (auto iteration : state) {
        for (std::int64_t number = 0; number < state.range(0); ++number) {
            const AggregateId id = programAt(number);
            zone.owner(id.slot()).replace(id, entry, [&committed](AppendOutcome outcome) {
                committed += outcome == AppendOutcome::Committed ? 1 : 0;
            });
        }
        zone.timers.runPosted();
    }
    if (committed != static_cast<std::int64_t>(state.iterations()) * state.range(0))
        state.SkipWithError("not every entry was committed");
    state.SetItemsProcessed(committed);
}

/** Takeover after a VM failure: its slots become active at the other VM, which has the records. */
void takeOver(benchmark::State &state)
{
    for (auto iteration : state) {
        state.PauseTiming();
        JournalZone zone;
        fill(zone, state.range(0));
        zone.kill(firstVm);
        state.ResumeTiming();
        zone.publish({secondVm});
        zone.adopt(secondVm);
        if (!zone.journal(secondVm).isSettled())
            state.SkipWithError("not settled");
        state.PauseTiming();
        zone.kill(secondVm);
        state.ResumeTiming();
    }
}

/** Join of a VM: about a third of the slots move to it and a third get it as their backup. */
void handOver(benchmark::State &state)
{
    JournalSettings settings;
    settings.slotCount = static_cast<SlotIndex>(state.range(1));
    for (auto iteration : state) {
        state.PauseTiming();
        JournalZone zone(settings);
        fill(zone, state.range(0));
        zone.start(joiner);
        state.ResumeTiming();
        zone.publish({firstVm, secondVm, joiner});
        for (const QString &name : {firstVm, secondVm, joiner})
            zone.adopt(name);
        if (!zone.journal(joiner).isSettled())
            state.SkipWithError("not settled");
        state.PauseTiming();
        for (const QString &name : {firstVm, secondVm, joiner})
            zone.kill(name);
        state.ResumeTiming();
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * state.range(0)
                            * state.range(1));
}

} // namespace

BENCHMARK(appendWithAck)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(takeOver)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMillisecond);
BENCHMARK(handOver)
        ->ArgNames({"records", "slots"})
        ->Args({10, slotsPerZone})
        ->Args({100, slotsPerZone})
        ->Args({1000, slotsPerZone})
        ->Args({1000, 8})
        ->Args({10000, 8})
        ->Unit(benchmark::kMillisecond);

#include "lacewingmux_core/logging/LogOutput.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_records/log/RecordIndex.h"
#include "lacewingmux_records/log/SegmentedLog.h"

#include <benchmark/benchmark.h>

#include <QCoreApplication>
#include <QTemporaryDir>

/*
 * Measures how long a records VM needs to read its log after a restart, during which no turn can
 * be opened. Runs with and without bodies, as not all deployments store inputs and outputs.
 */

namespace {

using namespace lacewingmux;

constexpr int recordsPerTurn = 2; // a reservation, and the turn or its settlement
constexpr int turnsPerProgram = 6;

Record recordOf(int number, qsizetype bodyBytes)
{
    const int turn = number / recordsPerTurn;
    Record record;
    record.key = QByteArray::number(0x9c41d07be2a30000 + static_cast<std::uint64_t>(turn), 16);
    record.program = QByteArray::number(0x3fa81c000000 + turn / turnsPerProgram, 16);
    record.team = "hule930";
    record.tokens = 252;
    record.expires = std::chrono::system_clock::now() + std::chrono::hours(1);
    if (number % recordsPerTurn == 0) {
        record.kind = RecordKind::Reservation;
    } else if (bodyBytes == 0) {
        record.kind = RecordKind::Settlement;
    } else {
        record.kind = RecordKind::Turn;
        record.input = QByteArray(bodyBytes * 3 / 4, 'i');
        record.output = QByteArray(bodyBytes / 4, 'o');
    }
    return record;
}

void replay(benchmark::State &state)
{
    const auto records = static_cast<int>(state.range(0));
    const QTemporaryDir folder;
    QtTimerService timers;
    {
        SegmentedLog log(folder.path(), timers);
        log.replay([](std::uint64_t, const Record &) {});
        bool durable = false;
        for (int number = 0; number < records; ++number)
            log.append(recordOf(number, state.range(1)));
        log.whenDurable(static_cast<std::uint64_t>(records), [&durable] { durable = true; });
        while (!durable)
            QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    for (auto _ : state) {
        SegmentedLog log(folder.path(), timers);
        RecordIndex index;
        log.replay([&index](std::uint64_t sequence, const Record &record) {
            index.add(record, sequence);
        });
        benchmark::DoNotOptimize(index.size());
    }
    state.counters["records"] = benchmark::Counter(static_cast<double>(records),
                                                   benchmark::Counter::kIsIterationInvariantRate);
}

BENCHMARK(replay)
        ->ArgNames({"records", "body"})
        ->Args({22000, 0})
        ->Args({27000, 6000})
        ->Unit(benchmark::kMillisecond);

} // namespace

int main(int argumentCount, char **arguments)
{
    QCoreApplication application(argumentCount, arguments);
    benchmark::Initialize(&argumentCount, arguments);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}

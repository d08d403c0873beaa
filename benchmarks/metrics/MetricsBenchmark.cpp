#include "lacewingmux_report/metrics/HistogramMetrics.h"
#include "lacewingmux_report/metrics/PrometheusText.h"

#include <benchmark/benchmark.h>

#include <vector>

namespace {

using namespace lacewingmux;

std::vector<std::vector<MetricLabel>> labelSets(std::int64_t count)
{
    std::vector<std::vector<MetricLabel>> sets;
    sets.reserve(static_cast<std::size_t>(count));
    for (std::int64_t index = 0; index < count; ++index)
        sets.push_back({{QStringLiteral("team"), QStringLiteral("team-%1").arg(index)},
                        {QStringLiteral("route"), QStringLiteral("chat")}});
    return sets;
}

HistogramMetrics &sharedMetrics()
{
    static HistogramMetrics metrics;
    return metrics;
}

/** Recording one duration, as each request does a few times. */
void observe(benchmark::State &state)
{
    const auto sets = labelSets(state.range(0));
    std::size_t next = 0;
    for (auto iteration : state) {
        sharedMetrics().observe("lacewingmux_call_duration_seconds", sets[next],
                                std::chrono::microseconds(1500));
        next = (next + 1) % sets.size();
    }
}

/** Writing the text for one scrape of a daemon with that many teams. */
void scrape(benchmark::State &state)
{
    HistogramMetrics metrics;
    for (const auto &labels : labelSets(state.range(0)))
        metrics.observe("lacewingmux_call_duration_seconds", labels, std::chrono::microseconds(10));
    std::int64_t bytes = 0;
    for (auto iteration : state)
        bytes = PrometheusText::write(metrics.snapshot()).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}

} // namespace

BENCHMARK(observe)->Arg(8)->Arg(512)->Threads(1)->Threads(4);
BENCHMARK(scrape)->Arg(8)->Arg(80)->Arg(512);

#include "lacewingmux_report/metrics/HistogramMetrics.h"
#include "lacewingmux_report/metrics/PrometheusText.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <thread>

using namespace lacewingmux;
using namespace std::chrono_literals;

Test(DurationHistogram, quantilesOfMergedHistogramsComeFromAllObservations)
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> milliseconds(3, 1);
    std::vector<std::chrono::microseconds> all;
    DurationHistogram merged;
    for (int vm = 0; vm < 4; ++vm) {
        DurationHistogram own;
        for (int index = 0; index < 2500 * (vm + 1); ++index) {
            const std::chrono::microseconds duration(
                    static_cast<std::int64_t>(1000 * (vm + 1) * milliseconds(random)));
            own.observe(duration);
            all.push_back(duration);
        }
        merged.merge(DurationHistogram::fromJson(own.toJson()));
    }
    std::sort(all.begin(), all.end());

    cr_assert_eq(merged.count(), all.size());
    for (const double fraction : {0.5, 0.95, 0.99}) {
        const auto exact =
                all[static_cast<std::size_t>(fraction * static_cast<double>(all.size()))];
        const double ratio = static_cast<double>(merged.quantile(fraction).count())
                             / static_cast<double>(exact.count());
        cr_assert(ratio > 0.99 && ratio < 1.27, "quantile %f is off by %f", fraction, ratio);
    }
}

Test(HistogramMetrics, keepsABoundedNumberOfLabelSets)
{
    HistogramMetrics metrics(3);
    for (int team = 0; team < 1000; ++team)
        metrics.count("lacewingmux_requests_total",
                      {{QStringLiteral("team"), QString::number(team)}}, 1);

    const auto family =
            metrics.snapshot().counters.at(QStringLiteral("lacewingmux_requests_total"));
    cr_assert_eq(family.size(), 4);
    double total = 0;
    for (const auto &series : family)
        total += series.value;
    cr_assert_eq(total, 1000);
}

Test(HistogramMetrics, losesNothingWhenManyThreadsRecord)
{
    HistogramMetrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int index = 0; index < 4; ++index)
        threads.emplace_back([&metrics] {
            for (int count = 0; count < 2000; ++count)
                metrics.count("lacewingmux_requests_total", {}, 1);
        });
    for (std::thread &thread : threads)
        thread.join();
    cr_assert_eq(metrics.snapshot()
                         .counters.at(QStringLiteral("lacewingmux_requests_total"))
                         .front()
                         .value,
                 8000);
}

Test(PrometheusText, escapesLabelValuesAndEndsHistogramsWithInfinity)
{
    HistogramMetrics metrics;
    metrics.count("lacewingmux_requests_total",
                  {{QStringLiteral("team"), QStringLiteral("a\"b\\c\nd")}}, 2);
    metrics.observe("lacewingmux_call_duration_seconds", {}, 5ms);
    const QByteArray text = PrometheusText::write(metrics.snapshot());
    cr_assert(text.contains("lacewingmux_requests_total{team=\"a\\\"b\\\\c\\nd\"} 2\n"));
    cr_assert(text.contains("lacewingmux_call_duration_seconds_bucket{le=\"+Inf\"} 1\n"));
    cr_assert(text.contains("lacewingmux_call_duration_seconds_count 1\n"));
}

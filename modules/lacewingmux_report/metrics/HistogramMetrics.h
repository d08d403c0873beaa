#pragma once

#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_report/metrics/MetricsSnapshot.h"

#include <cstddef>
#include <memory>

namespace lacewingmux {

/**
    The metrics of one daemon, bounded in memory: a metric keeps at most a fixed number of label
    sets, and what comes after falls into one series whose label values are all "other".

    Thread-safe. Each recording thread writes to the shard that its thread id picks, so threads
    seldom wait for one another; a snapshot adds up the shards.
*/
class HistogramMetrics final : public MetricsRecorder
{
public:
    /** Makes an empty recorder that keeps up to the given number of label sets for each metric. */
    explicit HistogramMetrics(std::size_t maximumLabelSets = defaultMaximumLabelSets);
    ~HistogramMetrics() override;

    void count(const char *name, const std::vector<MetricLabel> &labels, double amount) override;
    void observe(const char *name, const std::vector<MetricLabel> &labels,
                 std::chrono::microseconds duration) override;
    void set(const char *name, const std::vector<MetricLabel> &labels, double value) override;

    /** Returns a copy of all series. */
    [[nodiscard]] MetricsSnapshot snapshot() const;

    /** Label sets that a metric keeps by default: a team-by-route grid of today's sizes fits. */
    static constexpr std::size_t defaultMaximumLabelSets = 512;

private:
    struct Shard;

    [[nodiscard]] Shard &shardOfThisThread() const;

    std::size_t labelSetLimit;
    std::vector<std::unique_ptr<Shard>> shards;
    std::unique_ptr<Shard> gauges; ///< a gauge has one value, so all threads share a shard
};

} // namespace lacewingmux

#pragma once

#include <QString>

#include <chrono>
#include <vector>

namespace lacewingmux {

/** One label of a measured series, for example {"team", "akwaaba-accra"}. */
struct MetricLabel
{
    QString name;
    QString value;
};

/**
    Where every module records what it measures. The report module implements it with bounded
    histograms; tests may pass a recorder that ignores everything. Thread-safe.

    Names follow the Prometheus rules: lower snake case, prefix "lacewingmux_", the unit and
    "_total" for counters at the end.
*/
class MetricsRecorder
{
public:
    MetricsRecorder() = default;
    virtual ~MetricsRecorder() = default;
    MetricsRecorder(const MetricsRecorder &) = delete;
    MetricsRecorder &operator=(const MetricsRecorder &) = delete;

    /** Adds to a counter. */
    virtual void count(const char *name, const std::vector<MetricLabel> &labels, double amount) = 0;

    /** Records one duration in a histogram. */
    virtual void observe(const char *name, const std::vector<MetricLabel> &labels,
                         std::chrono::microseconds duration) = 0;

    /** Sets a gauge. */
    virtual void set(const char *name, const std::vector<MetricLabel> &labels, double value) = 0;
};

} // namespace lacewingmux

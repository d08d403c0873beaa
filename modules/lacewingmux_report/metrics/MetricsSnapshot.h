#pragma once

#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_report/metrics/DurationHistogram.h"

#include <QString>

#include <map>
#include <vector>

namespace lacewingmux {

/** All series of one daemon, or of several merged, at one moment. */
struct MetricsSnapshot
{
    /** A value or a distribution with its labels, ordered by name. */
    template <typename Value>
    struct Series
    {
        std::vector<MetricLabel> labels;
        Value value{};
    };

    template <typename Value>
    using Family = std::vector<Series<Value>>;

    std::map<QString, Family<double>> counters;
    std::map<QString, Family<double>> gauges;
    std::map<QString, Family<DurationHistogram>> histograms;
};

} // namespace lacewingmux

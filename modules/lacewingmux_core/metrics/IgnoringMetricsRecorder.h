#pragma once

#include "lacewingmux_core/metrics/MetricsRecorder.h"

namespace lacewingmux {

/** A recorder that drops everything, for tests and embedding. */
class IgnoringMetricsRecorder final : public MetricsRecorder
{
public:
    void count(const char *, const std::vector<MetricLabel> &, double) override
    { }
    void observe(const char *, const std::vector<MetricLabel> &, std::chrono::microseconds) override
    { }
    void set(const char *, const std::vector<MetricLabel> &, double) override
    { }
};

} // namespace lacewingmux

#pragma once

#include <cstdint>

namespace lacewingmux {

/** What kind of series a metric is. */
enum class MetricType : std::uint8_t { Counter, Gauge, Histogram };

/** The name, meaning and type of one metric, as monitoring shows them. */
struct MetricDescription
{
    const char *name;
    MetricType type;
    const char *help;
};

} // namespace lacewingmux

#include "lacewingmux_report/metrics/MetricsCatalogue.h"

#include <algorithm>
#include <array>

namespace lacewingmux {

namespace {

constexpr std::array catalogue{
        MetricDescription{"lacewingmux_requests_total", MetricType::Counter,
                          "Requests of callers by team, route and answer."},
};

} // namespace

std::span<const MetricDescription> MetricsCatalogue::all() noexcept
{
    return catalogue;
}

const MetricDescription *MetricsCatalogue::find(const QString &name) noexcept
{
    const auto found = std::find_if(
            catalogue.begin(), catalogue.end(),
            [&name](const MetricDescription &entry) { return name == QLatin1String(entry.name); });
    return found == catalogue.end() ? nullptr : &*found;
}

} // namespace lacewingmux

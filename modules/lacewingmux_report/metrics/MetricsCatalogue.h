#pragma once

#include "lacewingmux_report/metrics/MetricDescription.h"

#include <QString>

#include <span>

namespace lacewingmux {

/** The metrics that a daemon publishes, with their help texts. */
class MetricsCatalogue
{
public:
    /** Returns all descriptions, ordered by name. */
    [[nodiscard]] static std::span<const MetricDescription> all() noexcept;

    /** Returns the description of a metric, or null for a name that is not in the catalogue. */
    [[nodiscard]] static const MetricDescription *find(const QString &name) noexcept;
};

} // namespace lacewingmux

#pragma once

#include <QByteArray>

namespace lacewingmux {

struct MetricsSnapshot;

/** Writes a snapshot in version 0.0.4 of the Prometheus text format, durations in seconds. */
class PrometheusText
{
public:
    /** Returns the text with HELP and TYPE lines from the MetricsCatalogue. */
    [[nodiscard]] static QByteArray write(const MetricsSnapshot &snapshot);

    /** The value of the Content-Type header that belongs to the text. */
    static constexpr const char *contentType = "text/plain; version=0.0.4; charset=utf-8";
};

} // namespace lacewingmux

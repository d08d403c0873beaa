#pragma once

#include <QHostAddress>

#include <cstdint>
#include <memory>

class QHttpServer;

namespace lacewingmux {

class HistogramMetrics;

/** Serves the metrics of a node over HTTP at /metrics, in the Prometheus text format. */
class MetricsServer
{
public:
    /** Starts listening. Throws LacewingmuxError if the address or port cannot be bound. */
    MetricsServer(const QHostAddress &address, std::uint16_t port, const HistogramMetrics &metrics);
    ~MetricsServer();
    MetricsServer(const MetricsServer &) = delete;
    MetricsServer &operator=(const MetricsServer &) = delete;

private:
    std::unique_ptr<QHttpServer> server;
};

} // namespace lacewingmux

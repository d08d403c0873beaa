#pragma once

#include <QHostAddress>

#include <cstdint>
#include <memory>

class QHttpServer;

namespace lacewingmux {

class HistogramMetrics;

/** Serves the metrics of a node as text at /metrics. */
class MetricsServer
{
public:
    /** Listens at once. Throws LacewingmuxError when the address can't be listened on. */
    MetricsServer(const QHostAddress &address, std::uint16_t port, const HistogramMetrics &metrics);
    ~MetricsServer();
    MetricsServer(const MetricsServer &) = delete;
    MetricsServer &operator=(const MetricsServer &) = delete;

private:
    std::unique_ptr<QHttpServer> server;
};

} // namespace lacewingmux

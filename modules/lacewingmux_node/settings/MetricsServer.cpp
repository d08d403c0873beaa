#include "lacewingmux_node/settings/MetricsServer.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"
#include "lacewingmux_report/metrics/PrometheusText.h"

#include <QHttpServer>
#include <QHttpServerResponse>

namespace lacewingmux {

MetricsServer::MetricsServer(const QHostAddress &address, std::uint16_t port,
                             const HistogramMetrics &metrics)
    : server(std::make_unique<QHttpServer>())
{
    this->server->route(QStringLiteral("/metrics"), [&metrics] {
        return QHttpServerResponse(PrometheusText::contentType,
                                   PrometheusText::write(metrics.snapshot()));
    });
    if (this->server->listen(address, port) == 0)
        throw LacewingmuxError(
                ErrorKind::InternalError,
                QStringLiteral("cannot serve metrics on %1:%2").arg(address.toString()).arg(port));
}

MetricsServer::~MetricsServer() = default;

} // namespace lacewingmux

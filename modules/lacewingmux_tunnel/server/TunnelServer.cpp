#include "lacewingmux_tunnel/server/TunnelServer.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/metrics/MetricsRecorder.h"
#include "lacewingmux_tunnel/server/Tunnel.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds suspensionCheckInterval{200};
// A requester whose request was not passed on for so long may have given it up.
constexpr std::chrono::milliseconds suspensionLimit{1000};

} // namespace

TunnelServer::TunnelServer(const TunnelServerSettings &serverSettings, TimerService &timerService,
                           MetricsRecorder &metricsRecorder, Dialler targetDialler)
    : settings(serverSettings)
    , timers(timerService)
    , metrics(metricsRecorder)
    , dialler(std::move(targetDialler))
    , server(std::make_unique<QTcpServer>())
    , lastCheck(timerService.now())
{
    QObject::connect(this->server.get(), &QTcpServer::newConnection, this->server.get(), [this] {
        while (QTcpSocket *socket = this->server->nextPendingConnection())
            this->accept(socket);
    });
    if (!this->server->listen(this->settings.address, this->settings.port))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("cannot listen for tunnels on %1:%2: %3")
                                       .arg(this->settings.address.toString())
                                       .arg(this->settings.port)
                                       .arg(this->server->errorString()));
}

TunnelServer::~TunnelServer() = default;

std::uint16_t TunnelServer::port() const
{
    return this->server->serverPort();
}

void TunnelServer::connectDirectly(QTcpSocket &socket, const QHostAddress &address,
                                   std::uint16_t port)
{
    socket.connectToHost(address, port);
}

void TunnelServer::accept(QTcpSocket *socket)
{
    if (this->tunnels.empty()) {
        this->lastCheck = this->timers.now();
        this->suspensionTimer = this->timers.every(suspensionCheckInterval,
                                                   [this] { this->abortAfterSuspension(); });
    }
    const bool accepts = !this->stopped && this->tunnels.size() < this->settings.tunnelLimit;
    Tunnel::Hooks hooks;
    hooks.dial = this->dialler;
    hooks.mayForward = [this] { return this->timers.now() - this->lastCheck < suspensionLimit; };
    hooks.ended = [this](const Tunnel *ended) { this->remove(ended); };
    auto tunnel = std::make_shared<Tunnel>(socket, this->settings, this->timers, std::move(hooks));
    this->tunnels[tunnel.get()] = tunnel;
    this->metrics.count(
            "lacewingmux_tunnels_total",
            {{QStringLiteral("accepted"), accepts ? QStringLiteral("yes") : QStringLiteral("no")}},
            1);
    tunnel->start(accepts);
}

void TunnelServer::remove(const Tunnel *tunnel)
{
    const auto found = this->tunnels.find(tunnel);
    if (found == this->tunnels.end())
        return;
    // The tunnel is still on the call stack, so it is destroyed later.
    this->timers.post([kept = std::move(found->second)] {});
    this->tunnels.erase(found);
    if (!this->tunnels.empty())
        return;
    this->suspensionTimer.cancel();
    if (this->stopped)
        this->stopTimer = this->timers.after(std::chrono::milliseconds(0), this->stopped);
}

void TunnelServer::abortAfterSuspension()
{
    const TimerService::SteadyTime now = this->timers.now();
    const auto passed = now - std::exchange(this->lastCheck, now);
    if (passed < suspensionLimit)
        return;
    LogEvent(LogSeverity::Warning, "tunnelsAborted")
            .field("reason", "the process was suspended")
            .field("milliseconds",
                   static_cast<qint64>(
                           std::chrono::floor<std::chrono::milliseconds>(passed).count()))
            .field("tunnels", static_cast<qint64>(this->tunnels.size()));
    const auto all = this->tunnels;
    for (const auto &[key, tunnel] : all) {
        if (tunnel->holdsRequest())
            tunnel->abort();
    }
}

void TunnelServer::beginStop(std::function<void()> stoppedHook)
{
    this->stopped = std::move(stoppedHook);
    const auto limit =
            this->tunnels.empty() ? std::chrono::milliseconds(0) : this->settings.stopLimit;
    this->stopTimer = this->timers.after(limit, this->stopped);
}

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_tunnel/server/TunnelServerSettings.h"

#include <QHostAddress>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

class QTcpServer;
class QTcpSocket;

namespace lacewingmux {

class MetricsRecorder;
class Tunnel;

/** Opens tunnels for other VMs of the deployment. All of it runs on the thread that owns it. */
class TunnelServer
{
public:
    /** Connects a socket to a target. */
    using Dialler = std::function<void(QTcpSocket &socket, const QHostAddress &address,
                                       std::uint16_t port)>;

    /** Starts listening. Throws LacewingmuxError if listening on the address fails. The dialler is
        replaced by tests. */
    TunnelServer(const TunnelServerSettings &serverSettings, TimerService &timerService,
                 MetricsRecorder &metricsRecorder, Dialler targetDialler = connectDirectly);
    ~TunnelServer();
    TunnelServer(const TunnelServer &) = delete;
    TunnelServer &operator=(const TunnelServer &) = delete;

    /** Starts a planned stop: opens no more tunnels, and calls the hook once those that are open
        have ended, or the limit has passed. */
    void beginStop(std::function<void()> stoppedHook);

    /** Returns the port on which tunnels are requested. */
    [[nodiscard]] std::uint16_t port() const;

    /** Returns the number of tunnels, also those that are not connected yet. */
    [[nodiscard]] std::size_t tunnelCount() const noexcept
    {
        return this->tunnels.size();
    }

private:
    static void connectDirectly(QTcpSocket &socket, const QHostAddress &address,
                                std::uint16_t port);
    void accept(QTcpSocket *socket);
    void remove(const Tunnel *tunnel);
    /** Aborts the tunnels that hold requests, if the process was suspended. What a target sends is
        passed on also then. */
    void abortAfterSuspension();

    TunnelServerSettings settings;
    TimerService &timers;
    MetricsRecorder &metrics;
    Dialler dialler;
    std::unique_ptr<QTcpServer> server;
    std::map<const Tunnel *, std::shared_ptr<Tunnel>> tunnels;
    std::function<void()> stopped;
    TimerSubscription stopTimer;
    TimerSubscription suspensionTimer;
    TimerService::SteadyTime lastCheck; ///< whether the process was suspended
};

} // namespace lacewingmux

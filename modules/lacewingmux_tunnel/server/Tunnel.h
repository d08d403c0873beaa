#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_tunnel/messages/TunnelStatus.h"
#include "lacewingmux_tunnel/server/TunnelServerSettings.h"
#include "lacewingmux_tunnel/sockets/ResetDetector.h"

#include <QHostAddress>

#include <cstdint>
#include <functional>
#include <memory>

class QTcpSocket;

namespace lacewingmux {

class PeerMonitor;

/**
    One tunnel: a connection of a requesting VM, and the connection to its target. Passes bytes on
   in both directions, and passes on how the target's connection ended: a close after all bytes, a
    reset as a reset. When the requester's connection ends, the target's is closed at once.
*/
class Tunnel
{
public:
    struct Hooks
    {
        /** Connects a socket to the target. */
        std::function<void(QTcpSocket &, const QHostAddress &, std::uint16_t)> dial;
        /** Returns whether bytes of the requester may still be passed on; false after a
            suspension, in which it may have given up. */
        std::function<bool()> mayForward;
        /** Called once when the tunnel has ended. */
        std::function<void(const Tunnel *)> ended;
    };

    /** Takes over the requester's connection. */
    Tunnel(QTcpSocket *requesterSocket, const TunnelServerSettings &serverSettings,
           TimerService &timerService, Hooks tunnelHooks);
    ~Tunnel();
    Tunnel(const Tunnel &) = delete;
    Tunnel &operator=(const Tunnel &) = delete;

    /** Waits for the request, and connects to its target or, unless allowed to, rejects it. */
    void start(bool isAllowed);

    /** Resets the requester's connection and ends the tunnel. */
    void abort();

    /** Tells whether the requester has sent something that was not passed on, or waits for the
        connection to the target. */
    [[nodiscard]] bool holdsRequest() const;

private:
    enum class Phase : std::uint8_t { Requesting, Connecting, Open, Closing, Ended };

    void readRequester();
    void readRequest();
    void handleTargetConnected();
    void handleTargetError();
    void forward(QTcpSocket &from, QTcpSocket &to);
    /** Ends the tunnel once the requester has been sent all bytes of the closed target. */
    void closeWhenDelivered();
    /** Replies that the target is not connected, and ends the tunnel. */
    void reply(TunnelStatus status);
    void end();

    QTcpSocket *requester;
    QTcpSocket *target;
    const TunnelServerSettings &settings;
    TimerService &timers;
    Hooks hooks;
    ResetDetector targetReset;
    std::unique_ptr<PeerMonitor> requesterMonitor;
    std::unique_ptr<PeerMonitor> targetMonitor; ///< once connected
    Phase phase = Phase::Requesting;
    bool allowed = true;
    TimerSubscription timeout;
};

} // namespace lacewingmux

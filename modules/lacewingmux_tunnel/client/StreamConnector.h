#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_tunnel/client/ConnectResult.h"
#include "lacewingmux_tunnel/client/StreamRoute.h"
#include "lacewingmux_tunnel/messages/TunnelTimes.h"

#include <QMetaObject>

#include <chrono>
#include <functional>

class QTcpSocket;

namespace lacewingmux {

/** Maximum time to connect to a replica: hundreds of round trips between zones. */
inline constexpr std::chrono::milliseconds replicaConnectTimeout{400};

/** Maximum time to connect to a replica through a tunnel. Its VM waits for the replica, and may
    itself be as late as a connection that is made directly. */
inline constexpr std::chrono::milliseconds tunnelReplyTimeout =
        replicaConnectTimeout + tunnelConnectTimeout;

/**
    Connects a socket to a replica, directly or through a tunnel. Once connected, both kinds behave
    alike: what is written to the socket reaches the replica.
*/
class StreamConnector
{
public:
    using ResultHook = std::function<void(ConnectResult)>;

    /** Starts to connect. The hook is called at most once, and never after destruction; it may
        destroy this object. */
    StreamConnector(QTcpSocket &connectingSocket, StreamRoute streamRoute,
                    TimerService &timerService, ResultHook hook);
    ~StreamConnector();
    StreamConnector(const StreamConnector &) = delete;
    StreamConnector &operator=(const StreamConnector &) = delete;

private:
    void handleConnected();
    void handleError();
    void readReply();
    void finish(ConnectResult result);
    void stopWatching();

    QTcpSocket &socket;
    StreamRoute route;
    ResultHook resultHook;
    QMetaObject::Connection connectedSignal;
    QMetaObject::Connection errorSignal;
    QMetaObject::Connection readSignal;
    TimerSubscription early;        ///< handles what happened within the constructor
    TimerSubscription timeout;      ///< of the connection that this VM makes
    TimerSubscription replyTimeout; ///< of the reply of the tunnel's VM
};

} // namespace lacewingmux

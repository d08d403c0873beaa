#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_core/time/TimerSubscription.h"

#include <chrono>
#include <functional>

class QTcpSocket;

namespace lacewingmux {

/**
    Detects that the system at the other end of a connection no longer acknowledges what it is sent.

    A process that sends and reads nothing is not lost while its system acknowledges data,
   keep-alive probes and window probes. TCP_USER_TIMEOUT would end such a connection once the
   receive buffer of the process is full.
*/
class PeerMonitor
{
public:
    /** Starts to watch a connected socket, and calls the hook once if the peer is lost: it has
        acknowledged nothing for the timeout although it was sent something. */
    PeerMonitor(QTcpSocket &watchedSocket, TimerService &timerService,
                std::chrono::milliseconds lossTimeout, std::function<void()> peerLostHook);
    ~PeerMonitor();
    PeerMonitor(const PeerMonitor &) = delete;
    PeerMonitor &operator=(const PeerMonitor &) = delete;

private:
    /** What the system knows of the connection. */
    struct Contact
    {
        std::chrono::milliseconds age{0}; ///< since the last acknowledgement or data of the peer
        bool awaited = false; ///< something was sent more than once without an acknowledgement
    };

    [[nodiscard]] bool readContact(Contact &contact) const;
    void check();
    void scheduleCheck(std::chrono::milliseconds delay);

    QTcpSocket &socket;
    TimerService &timers;
    std::chrono::milliseconds timeout;
    std::function<void()> peerLost;
    bool suspected = false; ///< the last check has found the peer lost
    TimerSubscription timer;
};

} // namespace lacewingmux

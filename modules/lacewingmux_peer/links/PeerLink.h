#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/framing/FrameDecoder.h"
#include "lacewingmux_peer/handshake/PeerHandshake.h"
#include "lacewingmux_peer/links/PeerHubSettings.h"
#include "lacewingmux_peer/messages/PeerFrame.h"

#include <QPointer>

#include <cstdint>
#include <functional>
#include <memory>

class QTcpSocket;

namespace lacewingmux {

/**
    One TCP connection to a peer, from its handshake to its end.

    The hub that made it is told through the hooks; after closed() no hook is called any more.
    Frames sent within one turn of the loop leave in one write. A fault closes this link alone.
*/
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    /** What the hub is told. */
    struct Hooks
    {
        std::function<bool(const VmIncarnation &peer)> hello; ///< returning false closes the link
        std::function<void()> up;
        std::function<void(const PeerFrame &frame)> frame;
        std::function<void(const QString &reason)> closed;
    };

    /** Takes over the socket, connected or connecting, and starts the handshake. */
    PeerLink(QTcpSocket *connection, PeerHandshake::Role ownRole,
             const PeerHubSettings &hubSettings, TimerService &timerService, Hooks hubHooks);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** Starts the handshake and its time limit. Call once. */
    void start();

    /** Sends a frame; returns false, with nothing sent, unless the link is up with room for it. */
    bool send(const PeerFrame &frame);

    /** Closes the link and tells the hub why. */
    void close(const QString &reason);

    [[nodiscard]] bool isUp() const noexcept
    {
        return this->state == State::Up;
    }

    [[nodiscard]] PeerHandshake::Role role() const noexcept
    {
        return this->linkRole;
    }

    /** Returns the peer's incarnation, known once its hello has come. */
    [[nodiscard]] const VmIncarnation &peer() const noexcept
    {
        return this->handshake.peer();
    }

    /** Returns when anything last arrived from the peer. */
    [[nodiscard]] TimerService::SteadyTime lastHeard() const noexcept
    {
        return this->lastArrival;
    }

    /** Returns when the last frame other than a ping went either way. */
    [[nodiscard]] TimerService::SteadyTime lastUsed() const noexcept
    {
        return this->lastUse;
    }

private:
    enum class State : std::uint8_t { Handshaking, Up, Closed };

    void connectionReady();
    void readAvailable();
    void receive(const PeerFrame &frame);
    void receiveHello(const PeerFrame &frame);
    void receiveProof(const PeerFrame &frame);
    void becomeUp();
    void enqueue(const PeerFrame &frame);
    void flush();
    void checkAlive();

    QPointer<QTcpSocket> socket;
    PeerHandshake::Role linkRole;
    const PeerHubSettings &settings;
    TimerService &timers;
    Hooks hooks;
    PeerHandshake handshake;
    FrameDecoder decoder;
    State state = State::Handshaking;
    QByteArray outbox;
    bool flushPosted = false;
    bool heardSincePing = true;
    int missedPings = 0;
    TimerService::SteadyTime lastUse;
    TimerService::SteadyTime lastArrival;
    TimerSubscription handshakeDeadline;
    TimerSubscription pingTimer;
};

} // namespace lacewingmux

#include "lacewingmux_peer/links/PeerLink.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_peer/framing/FrameCodec.h"

#include <QSslSocket>
#include <QTcpSocket>

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr qsizetype handshakeFrameLimitBytes = 4096;

} // namespace

PeerLink::PeerLink(QTcpSocket *connection, PeerHandshake::Role ownRole,
                   const PeerHubSettings &hubSettings, TimerService &timerService, Hooks hubHooks)
    : socket(connection)
    , linkRole(ownRole)
    , settings(hubSettings)
    , timers(timerService)
    , hooks(std::move(hubHooks))
    , handshake(ownRole, hubSettings.fleet, hubSettings.self, hubSettings.channel,
                hubSettings.sharedSecret, PeerHandshake::makeNonce())
    , decoder(std::min(handshakeFrameLimitBytes, hubSettings.frameLimitBytes))
    , lastUse(timerService.now())
{ }

PeerLink::~PeerLink()
{
    if (!this->socket)
        return;
    this->socket->disconnect();
    this->socket->abort();
    this->socket->deleteLater();
}

void PeerLink::start()
{
    QTcpSocket *connection = this->socket;
    QObject::connect(connection, &QTcpSocket::readyRead, connection,
                     [this] { this->readAvailable(); });
    QObject::connect(connection, &QTcpSocket::disconnected, connection,
                     [this] { this->close(QStringLiteral("closed by the peer")); });
    QObject::connect(connection, &QTcpSocket::errorOccurred, connection,
                     [this] { this->close(this->socket->errorString()); });
    this->handshakeDeadline = this->timers.after(this->settings.handshakeTimeout, [this] {
        this->close(QStringLiteral("handshake took too long"));
    });

    if (connection->state() == QAbstractSocket::UnconnectedState) {
        // A refusal on the local host is known at once, before anybody listened for it.
        this->timers.post([weak = this->weak_from_this()] {
            if (const auto link = weak.lock())
                link->close(QStringLiteral("cannot connect"));
        });
        return;
    }
    auto *secured = qobject_cast<QSslSocket *>(connection);
    const bool securing = secured && this->settings.tls && !secured->isEncrypted();
    if (securing) {
        QObject::connect(secured, &QSslSocket::encrypted, connection,
                         [this] { this->connectionReady(); });
    } else if (connection->state() == QAbstractSocket::ConnectedState) {
        this->connectionReady();
    } else {
        QObject::connect(connection, &QTcpSocket::connected, connection,
                         [this] { this->connectionReady(); });
    }
}

bool PeerLink::send(const PeerFrame &frame)
{
    if (this->state != State::Up)
        return false;
    if (frame.payload.size() + frameOverheadBytes > this->settings.frameLimitBytes) {
        LogEvent(LogSeverity::Error, "peerFrameTooLong")
                .field("kind", static_cast<int>(frame.kind))
                .field("bytes", static_cast<qint64>(frame.payload.size()));
        return false;
    }
    const qsizetype waiting = this->socket->bytesToWrite() + this->outbox.size();
    if (waiting + frame.payload.size() > this->settings.sendBufferLimitBytes) {
        // Closing within a send would run the subscribers' link handlers inside their own calls.
        this->timers.post([weak = this->weak_from_this()] {
            if (const auto link = weak.lock())
                link->close(QStringLiteral("send buffer is full"));
        });
        return false;
    }
    this->lastUse = this->timers.now();
    this->enqueue(frame);
    return true;
}

void PeerLink::close(const QString &reason)
{
    if (this->state == State::Closed)
        return;
    const auto keepAlive = this->shared_from_this();
    this->state = State::Closed;
    this->handshakeDeadline.cancel();
    this->pingTimer.cancel();
    if (this->socket) {
        this->socket->disconnect();
        this->socket->abort();
        this->socket->deleteLater();
        this->socket.clear();
    }
    this->hooks.closed(reason);
}

void PeerLink::connectionReady()
{
    this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    this->enqueue({FrameKind::Hello, 0, 0, this->handshake.hello()});
    this->readAvailable();
}

void PeerLink::readAvailable()
{
    const auto keepAlive = this->shared_from_this();
    if (this->state == State::Closed)
        return;
    const QByteArray bytes = this->socket->readAll();
    if (bytes.isEmpty())
        return;
    this->heardSincePing = true;
    this->lastArrival = this->timers.now();
    this->decoder.append(bytes);
    try {
        while (this->state != State::Closed) {
            const auto frame = this->decoder.next();
            if (!frame)
                return;
            this->receive(*frame);
        }
    } catch (const LacewingmuxError &error) {
        this->close(error.message());
    }
}

void PeerLink::receive(const PeerFrame &frame)
{
    switch (frame.kind) {
    case FrameKind::Hello:
        this->receiveHello(frame);
        return;
    case FrameKind::HelloProof:
        this->receiveProof(frame);
        return;
    default:
        break;
    }
    if (this->state != State::Up)
        throw LacewingmuxError(ErrorKind::ProtocolViolation,
                               QStringLiteral("frame before the handshake was over"));
    if (frame.kind == FrameKind::Ping) {
        this->enqueue({FrameKind::Pong, 0, frame.correlation, {}});
        return;
    }
    if (frame.kind == FrameKind::Pong)
        return;
    this->lastUse = this->timers.now();
    this->hooks.frame(frame);
}

void PeerLink::receiveHello(const PeerFrame &frame)
{
    this->handshake.receiveHello(frame.payload);
    if (this->hooks.hello(this->handshake.peer()))
        this->enqueue({FrameKind::HelloProof, 0, 0, this->handshake.proof()});
    else
        this->close(QStringLiteral("not needed"));
}

void PeerLink::receiveProof(const PeerFrame &frame)
{
    if (this->state != State::Handshaking)
        throw LacewingmuxError(ErrorKind::ProtocolViolation, QStringLiteral("second proof"));
    this->handshake.receiveProof(frame.payload);
    this->becomeUp();
}

void PeerLink::becomeUp()
{
    this->state = State::Up;
    this->handshakeDeadline.cancel();
    this->decoder.setLimit(this->settings.frameLimitBytes);
    this->lastUse = this->timers.now();
    this->pingTimer =
            this->timers.every(this->settings.pingInterval, [this] { this->checkAlive(); });
    this->hooks.up();
}

void PeerLink::enqueue(const PeerFrame &frame)
{
    if (this->outbox.isEmpty())
        this->outbox = encodeFrame(frame);
    else
        this->outbox += encodeFrame(frame);
    if (this->flushPosted)
        return;
    this->flushPosted = true;
    this->timers.post([weak = this->weak_from_this()] {
        if (const auto link = weak.lock())
            link->flush();
    });
}

void PeerLink::flush()
{
    this->flushPosted = false;
    if (this->state == State::Closed)
        return;
    this->socket->write(this->outbox);
    this->outbox.clear();
}

void PeerLink::checkAlive()
{
    // Intervals are counted rather than time, so that a daemon that was itself paused reads what
    // has arrived meanwhile before it judges its peers.
    this->missedPings = this->heardSincePing ? 0 : this->missedPings + 1;
    this->heardSincePing = false;
    if (this->missedPings >= this->settings.missedPingLimit) {
        this->close(QStringLiteral("the peer is silent"));
        return;
    }
    this->enqueue({FrameKind::Ping, 0, 0, {}});
}

} // namespace lacewingmux

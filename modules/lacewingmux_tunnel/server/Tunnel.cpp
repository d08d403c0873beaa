#include "lacewingmux_tunnel/server/Tunnel.h"

#include "lacewingmux_core/hashing/ConstantTimeComparison.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_tunnel/messages/TunnelCodec.h"
#include "lacewingmux_tunnel/sockets/PeerMonitor.h"

#include <QNetworkProxy>
#include <QTcpSocket>

#include <utility>

#include <poll.h>

namespace lacewingmux {

namespace {

// Without an acknowledgement, as for a direct connection to a replica.
constexpr std::chrono::milliseconds networkTimeout{3000};
constexpr std::chrono::milliseconds requestTimeout{1000};

} // namespace

Tunnel::Tunnel(QTcpSocket *requesterSocket, const TunnelServerSettings &serverSettings,
               TimerService &timerService, Hooks tunnelHooks)
    : requester(requesterSocket)
    , target(new QTcpSocket)
    , settings(serverSettings)
    , timers(timerService)
    , hooks(std::move(tunnelHooks))
{
    this->requester->setParent(nullptr);
    this->target->setProxy(QNetworkProxy::NoProxy);
    for (QTcpSocket *socket : {this->requester, this->target})
        socket->setReadBufferSize(this->settings.bufferBytes);
}

Tunnel::~Tunnel()
{
    for (QTcpSocket *socket : {this->requester, this->target}) {
        QObject::disconnect(socket, nullptr, nullptr, nullptr);
        socket->abort();
        socket->deleteLater();
    }
}

void Tunnel::start(bool isAllowed)
{
    this->allowed = isAllowed;
    this->requesterMonitor = std::make_unique<PeerMonitor>(
            *this->requester, this->timers, networkTimeout, [this] { this->abort(); });
    QObject::connect(this->requester, &QTcpSocket::readyRead, this->requester,
                     [this] { this->readRequester(); });
    QObject::connect(this->requester, &QTcpSocket::disconnected, this->requester,
                     [this] { this->end(); });
    QObject::connect(this->target, &QTcpSocket::connected, this->target,
                     [this] { this->handleTargetConnected(); });
    QObject::connect(this->target, &QTcpSocket::errorOccurred, this->target,
                     [this] { this->handleTargetError(); });
    this->timeout = this->timers.after(requestTimeout, [this] { this->end(); });
    this->readRequester();
}

void Tunnel::abort()
{
    if (this->phase == Phase::Ended)
        return;
    resetConnection(*this->requester);
    this->end();
}

bool Tunnel::holdsRequest() const
{
    if (this->phase != Phase::Open)
        return this->phase != Phase::Closing;
    pollfd watched{static_cast<int>(this->requester->socketDescriptor()), POLLIN, 0};
    return this->requester->bytesAvailable() > 0 || ::poll(&watched, 1, 0) != 0;
}

void Tunnel::readRequester()
{
    if (this->phase == Phase::Requesting)
        this->readRequest();
    else if (this->phase == Phase::Open)
        this->forward(*this->requester, *this->target);
}

void Tunnel::readRequest()
{
    PeerFrame frame;
    const TunnelCodec::ReadState state = TunnelCodec::readFrame(*this->requester, frame);
    if (state == TunnelCodec::ReadState::Incomplete)
        return;
    const std::optional<TunnelRequest> request = TunnelCodec::decodeRequest(frame);
    const bool proven =
            request
            && equalInConstantTime(request->proof,
                                   TunnelRequest::proofFor(this->settings.secret, request->address,
                                                           request->port));
    if (!proven)
        LogEvent(LogSeverity::Warning, "tunnelRequestRejected")
                .field("requester", this->requester->peerAddress().toString())
                .field("reason", request ? "wrong proof" : "malformed request");
    if (!proven || !this->allowed) {
        this->reply(TunnelStatus::Rejected);
        return;
    }
    this->phase = Phase::Connecting;
    this->timeout = this->timers.after(this->settings.connectTimeout,
                                       [this] { this->reply(TunnelStatus::Silent); });
    this->hooks.dial(*this->target, request->address, request->port);
}

void Tunnel::handleTargetConnected()
{
    this->timeout.cancel();
    this->phase = Phase::Open;
    this->targetMonitor = std::make_unique<PeerMonitor>(*this->target, this->timers, networkTimeout,
                                                        [this] { this->abort(); });
    this->targetReset.watch(*this->target);
    QObject::connect(this->target, &QTcpSocket::readyRead, this->target,
                     [this] { this->forward(*this->target, *this->requester); });
    // Bytes that wait for a full buffer are passed on when it has room again.
    QObject::connect(this->target, &QTcpSocket::bytesWritten, this->target,
                     [this] { this->forward(*this->requester, *this->target); });
    QObject::connect(this->requester, &QTcpSocket::bytesWritten, this->requester, [this] {
        this->forward(*this->target, *this->requester);
        this->closeWhenDelivered();
    });
    this->requester->write(TunnelCodec::encodeReply(TunnelStatus::Connected));
    this->requester->flush();
    this->forward(*this->requester, *this->target);
}

void Tunnel::handleTargetError()
{
    if (this->phase == Phase::Connecting) {
        this->reply(this->target->error() == QAbstractSocket::ConnectionRefusedError
                            ? TunnelStatus::Refused
                            : TunnelStatus::Silent);
        return;
    }
    if (this->phase != Phase::Open)
        return;
    this->forward(*this->target, *this->requester);
    if (this->targetReset.wasReset()) {
        this->abort();
        return;
    }
    this->phase = Phase::Closing;
    this->closeWhenDelivered();
}

void Tunnel::forward(QTcpSocket &from, QTcpSocket &to)
{
    if (this->phase != Phase::Open && this->phase != Phase::Closing)
        return;
    if (&from == this->requester && !this->hooks.mayForward()) {
        this->abort();
        return;
    }
    const qint64 room = this->settings.bufferBytes - to.bytesToWrite();
    if (room <= 0 || from.bytesAvailable() == 0)
        return;
    to.write(from.read(room));
    to.flush();
}

void Tunnel::closeWhenDelivered()
{
    if (this->phase != Phase::Closing || this->target->bytesAvailable() > 0
        || this->requester->bytesToWrite() > 0)
        return;
    this->requester->disconnectFromHost();
}

void Tunnel::reply(TunnelStatus status)
{
    this->phase = Phase::Closing;
    this->timeout = this->timers.after(requestTimeout, [this] { this->end(); });
    this->target->abort();
    this->requester->write(TunnelCodec::encodeReply(status));
    this->requester->disconnectFromHost(); // after the reply has been sent
}

void Tunnel::end()
{
    if (std::exchange(this->phase, Phase::Ended) == Phase::Ended)
        return;
    this->timeout.cancel();
    for (QTcpSocket *socket : {this->requester, this->target})
        QObject::disconnect(socket, nullptr, nullptr, nullptr);
    this->target->abort();
    this->hooks.ended(this);
}

} // namespace lacewingmux

#include "lacewingmux_tunnel/client/StreamConnector.h"

#include "lacewingmux_tunnel/messages/TunnelCodec.h"

#include <QNetworkProxy>
#include <QTcpSocket>

#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

ConnectResult resultOf(TunnelStatus status)
{
    switch (status) {
    case TunnelStatus::Connected:
        return ConnectResult::Connected;
    case TunnelStatus::Refused:
        return ConnectResult::Refused;
    case TunnelStatus::Silent:
        return ConnectResult::Silent;
    case TunnelStatus::Rejected:
        return ConnectResult::TunnelFailed;
    }
    return ConnectResult::TunnelFailed;
}

} // namespace

StreamConnector::StreamConnector(QTcpSocket &connectingSocket, StreamRoute streamRoute,
                                 TimerService &timerService, ResultHook hook)
    : socket(connectingSocket)
    , route(std::move(streamRoute))
    , resultHook(std::move(hook))
{
    this->socket.setProxy(QNetworkProxy::NoProxy);
    if (this->route.tunnel)
        this->socket.connectToHost(this->route.tunnel->endpoint().address,
                                   this->route.tunnel->endpoint().port);
    else
        this->socket.connectToHost(this->route.address, this->route.port);
    // What has happened by now is handled later, as the caller does not have this object yet.
    if (this->socket.state() == QAbstractSocket::ConnectedState)
        this->early = timerService.after(milliseconds(0), [this] { this->handleConnected(); });
    else if (this->socket.state() == QAbstractSocket::UnconnectedState)
        this->early = timerService.after(milliseconds(0), [this] { this->handleError(); });
    this->connectedSignal = QObject::connect(&this->socket, &QTcpSocket::connected, &this->socket,
                                             [this] { this->handleConnected(); });
    this->errorSignal = QObject::connect(&this->socket, &QTcpSocket::errorOccurred, &this->socket,
                                         [this] { this->handleError(); });
    this->timeout = timerService.after(replicaConnectTimeout, [this] {
        this->finish(this->route.tunnel ? ConnectResult::TunnelFailed : ConnectResult::Silent);
    });
    if (this->route.tunnel)
        this->replyTimeout = timerService.after(
                tunnelReplyTimeout, [this] { this->finish(ConnectResult::TunnelFailed); });
}

StreamConnector::~StreamConnector()
{
    this->stopWatching();
}

void StreamConnector::handleConnected()
{
    if (!this->route.tunnel) {
        this->finish(ConnectResult::Connected);
        return;
    }
    this->timeout.cancel();
    this->readSignal = QObject::connect(&this->socket, &QTcpSocket::readyRead, &this->socket,
                                        [this] { this->readReply(); });
    const TunnelRequest request{this->route.address, this->route.port,
                                TunnelRequest::proofFor(this->route.tunnelSecret,
                                                        this->route.address, this->route.port)};
    this->socket.write(TunnelCodec::encodeRequest(request));
    this->socket.flush(); // writes now instead of on the next event loop iteration
}

void StreamConnector::handleError()
{
    if (this->route.tunnel) {
        this->finish(ConnectResult::TunnelFailed);
        return;
    }
    const bool refused = this->socket.error() == QAbstractSocket::ConnectionRefusedError
                         || this->socket.error() == QAbstractSocket::RemoteHostClosedError;
    this->finish(refused ? ConnectResult::Refused : ConnectResult::Silent);
}

void StreamConnector::readReply()
{
    PeerFrame frame;
    const TunnelCodec::ReadState state = TunnelCodec::readFrame(this->socket, frame);
    if (state == TunnelCodec::ReadState::Incomplete)
        return;
    const std::optional<TunnelStatus> status = TunnelCodec::decodeReply(frame);
    this->finish(status ? resultOf(*status) : ConnectResult::TunnelFailed);
}

void StreamConnector::finish(ConnectResult result)
{
    this->stopWatching();
    if (const ResultHook hook = std::exchange(this->resultHook, nullptr))
        hook(result);
}

void StreamConnector::stopWatching()
{
    this->early.cancel();
    this->timeout.cancel();
    this->replyTimeout.cancel();
    QObject::disconnect(this->connectedSignal);
    QObject::disconnect(this->errorSignal);
    QObject::disconnect(this->readSignal);
}

} // namespace lacewingmux

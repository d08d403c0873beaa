#include "lacewingmux_gateway/replicas/ReplicaConnection.h"

#include "lacewingmux_gateway/http/ResponseDecoder.h"
#include "lacewingmux_gateway/http/SocketOptions.h"

#include <QNetworkProxy>
#include <QTcpSocket>

#include <utility>

#include <poll.h>
#include <unistd.h>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds replicaSilence{3000}; // of the network, not of the replica

} // namespace

ReplicaConnection::ReplicaConnection(const QHostAddress &address, std::uint16_t port,
                                     TimerService &timerService)
    : socket(new QTcpSocket)
    , timers(timerService)
    , reusableUntil(timerService.now())
{
    this->socket->setProxy(QNetworkProxy::NoProxy);
    QObject::connect(this->socket, &QTcpSocket::connected, this->socket,
                     [this] { this->handleConnected(); });
    QObject::connect(this->socket, &QTcpSocket::readyRead, this->socket,
                     [this] { this->readAvailable(); });
    QObject::connect(this->socket, &QTcpSocket::errorOccurred, this->socket,
                     [this] { this->handleEnd(); });
    this->connectTimeout = this->timers.after(replicaConnectLimit, [this] { this->handleEnd(); });
    this->socket->connectToHost(address, port);
}

ReplicaConnection::~ReplicaConnection()
{
    QObject::disconnect(this->socket, nullptr, nullptr, nullptr);
    this->socket->abort();
    this->socket->deleteLater();
    if (this->resetWatch >= 0)
        ::close(this->resetWatch);
}

void ReplicaConnection::exchange(const QByteArray &request, bool isHead, Hooks exchangeHooks)
{
    this->hooks = std::make_shared<const Hooks>(std::move(exchangeHooks));
    this->isHeadRequest = isHead;
    this->decoder = std::make_unique<ResponseDecoder>(isHead);
    this->headPassed = false;
    this->foreignAnswer = false;
    this->busy = true;
    if (this->broken) {
        this->timers.post([this, guard = std::weak_ptr(this->lifetime)] {
            if (!guard.expired())
                this->fail(ExchangeFailure::NotConnected);
        });
        return;
    }
    if (this->connected)
        this->writeNow(request);
    else
        this->unsent = request;
}

void ReplicaConnection::abort()
{
    this->hooks.reset();
    this->busy = false;
    this->broken = true;
    QObject::disconnect(this->socket, nullptr, nullptr, nullptr);
    this->connectTimeout.cancel();
    this->socket->abort();
}

bool ReplicaConnection::isReusable() const
{
    return !this->broken && !this->busy && this->connected && this->socket->bytesToWrite() == 0
           && this->timers.now() < this->reusableUntil;
}

void ReplicaConnection::handleConnected()
{
    this->connected = true;
    this->connectTimeout.cancel();
    configureSocket(*this->socket, replicaSilence);
    if (!this->unsent.isEmpty())
        this->writeNow(std::exchange(this->unsent, {}));
}

void ReplicaConnection::writeNow(const QByteArray &request)
{
    this->socket->write(request);
    this->socket->flush(); // saves the loop a turn to find out that the socket can be written
}

void ReplicaConnection::handleEnd()
{
    if (this->broken)
        return;
    const std::weak_ptr guard = this->lifetime;
    if (this->connected && this->busy) {
        this->readAvailable(); // what came before the end still counts
        if (guard.expired() || !this->busy)
            return;
        const bool openEnded = this->headPassed && this->decoder->head().bodyEndsAtClose;
        if (openEnded && !this->foreignAnswer && !this->wasReset()) {
            this->decoder->appendEnd();
            this->advance();
            if (guard.expired() || !this->busy)
                return;
        }
    }
    this->broken = true;
    this->connectTimeout.cancel();
    if (this->busy)
        this->fail(this->connected ? ExchangeFailure::Closed : ExchangeFailure::NotConnected);
}

void ReplicaConnection::readAvailable()
{
    const QByteArray bytes = this->socket->readAll();
    if (bytes.isEmpty())
        return;
    if (!this->busy) {
        this->broken = true; // nobody asked for these bytes
        return;
    }
    this->decoder->append(bytes);
    this->advance();
}

void ReplicaConnection::advance()
{
    const std::weak_ptr guard = this->lifetime;
    const std::shared_ptr active = this->hooks; // outlives an abort() out of one of them
    while (this->busy) {
        const DecodeState decoded = this->decoder->state();
        if (decoded < DecodeState::Body)
            return;
        if (decoded > DecodeState::Complete) {
            this->broken = true;
            this->fail(ExchangeFailure::Malformed);
            return;
        }
        if (!this->headPassed) {
            this->headPassed = true;
            const HttpResponseHead &head = this->decoder->head();
            this->foreignAnswer = !active->belongs(head);
            if (head.bodyEndsAtClose)
                this->watchForReset();
            if (!this->foreignAnswer)
                active->head(head);
            if (guard.expired() || !this->busy)
                return;
        }
        const QByteArray body = this->decoder->takeBody();
        if (!body.isEmpty() && !this->foreignAnswer) {
            active->body(body);
            if (guard.expired() || !this->busy)
                return;
        }
        if (decoded != DecodeState::Complete)
            return;
        const QByteArray rest = this->decoder->takeTrailingBytes();
        if (!this->foreignAnswer) {
            const bool goesOn = this->decoder->head().keepAlive && rest.isEmpty()
                                && !this->decoder->head().bodyEndsAtClose;
            this->broken = this->broken || !goesOn;
            this->busy = false;
            this->hooks.reset();
            active->complete();
            return;
        }
        this->decoder = std::make_unique<ResponseDecoder>(this->isHeadRequest);
        this->headPassed = false;
        this->foreignAnswer = false;
        this->decoder->append(rest);
    }
}

void ReplicaConnection::fail(ExchangeFailure reason)
{
    this->busy = false;
    if (const std::shared_ptr ended = std::exchange(this->hooks, nullptr))
        ended->failed(reason);
}

void ReplicaConnection::watchForReset()
{
    // Qt reports a reset like an orderly end, so a second descriptor is kept to tell them apart.
    if (this->resetWatch < 0)
        this->resetWatch = ::dup(static_cast<int>(this->socket->socketDescriptor()));
}

bool ReplicaConnection::wasReset() const
{
    if (this->resetWatch < 0)
        return true;
    pollfd watched{this->resetWatch, POLLIN, 0};
    if (::poll(&watched, 1, 0) < 0)
        return true;
    return (watched.revents & (POLLERR | POLLHUP)) != 0;
}

} // namespace lacewingmux

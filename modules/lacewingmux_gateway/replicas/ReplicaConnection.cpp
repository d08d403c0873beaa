#include "lacewingmux_gateway/replicas/ReplicaConnection.h"

#include "lacewingmux_gateway/http/ResponseDecoder.h"
#include "lacewingmux_gateway/http/StatusLine.h"
#include "lacewingmux_gateway/replicas/ReplicaRequest.h"
#include "lacewingmux_gateway/replicas/SharedReading.h"
#include "lacewingmux_gateway/replicas/UploadCompletion.h"
#include "lacewingmux_tunnel/sockets/PeerMonitor.h"

#include <QTcpSocket>

#include <algorithm>
#include <utility>

#include <poll.h>

namespace lacewingmux {

namespace {

// Without an acknowledgement; does not limit the time to a response.
constexpr std::chrono::milliseconds networkTimeout{3000};
// Bounds what the process takes from a connection at once. The system holds back the rest.
constexpr qint64 readBufferBytes = qint64{16} * 1024;
// Of responses to other requests; far above a response that was sent twice.
constexpr qsizetype maximumDiscardedBytes = qsizetype{1024} * 1024;
// Such responses in one exchange; one or two are usual.
constexpr int maximumDiscardedResponses = 16;
// Bounds the memory for the ids that a connection has carried, at one new connection in so many
// requests.
constexpr int maximumExchanges = 1000;

std::uint32_t hashOf(const QByteArray &requestId)
{
    return static_cast<std::uint32_t>(qHash(requestId));
}

} // namespace

ReplicaConnection::ReplicaConnection(const StreamRoute &streamRoute, TimerService &timerService,
                                     std::shared_ptr<SharedReading> sharedReading)
    : socket(new QTcpSocket)
    , timers(timerService)
    , reading(std::move(sharedReading))
    , tunnelUse(streamRoute.tunnel)
    , reusableUntil(timerService.now())
{
    this->socket->setReadBufferSize(readBufferBytes);
    this->connector = std::make_unique<StreamConnector>(
            *this->socket, streamRoute, this->timers,
            [this](ConnectResult result) { this->handleConnectResult(result); });
}

ReplicaConnection::~ReplicaConnection()
{
    QObject::disconnect(this->socket, nullptr, nullptr, nullptr);
    this->socket->abort();
    this->socket->deleteLater();
}

void ReplicaConnection::exchange(const ReplicaRequest &request, Hooks exchangeHooks)
{
    this->hooks = std::make_shared<const Hooks>(std::move(exchangeHooks));
    this->isHeadRequest = request.isHead;
    this->decoder = std::make_unique<ResponseDecoder>(request.isHead);
    this->headDelivered = false;
    this->isUnrelatedResponse = false;
    this->discardedBytes = 0;
    this->discarded = 0;
    ++this->exchanges;
    this->carriedIds.push_back(hashOf(request.id));
    this->headExchanges += request.isHead ? 1 : 0;
    this->busy = true;
    if (this->broken) {
        this->failLater(this->connectFailure);
        return;
    }
    if (this->connected)
        this->writeNow(request);
    else
        this->unsentRequest = std::make_unique<ReplicaRequest>(request);
}

void ReplicaConnection::abort()
{
    this->hooks.reset();
    this->busy = false;
    this->broken = true;
    QObject::disconnect(this->socket, nullptr, nullptr, nullptr);
    this->connector.reset();
    this->monitor.reset();
    this->upload.reset();
    this->socket->abort();
}

bool ReplicaConnection::distinguishes(const QByteArray &requestId) const
{
    if (this->exchanges == 0)
        return true;
    // Equal hashes of different ids cost no more than another connection.
    return !requestId.isEmpty()
           && std::ranges::find(this->carriedIds, hashOf(requestId)) == this->carriedIds.end();
}

bool ReplicaConnection::hasUnreadInput() const
{
    pollfd watched{static_cast<int>(this->socket->socketDescriptor()), POLLIN, 0};
    return this->socket->bytesAvailable() > 0 || ::poll(&watched, 1, 0) != 0;
}

bool ReplicaConnection::isReusable() const
{
    return this->exchanges < maximumExchanges && !this->broken && !this->busy && this->connected
           && this->socket->bytesToWrite() == 0 && this->timers.now() < this->reusableUntil;
}

void ReplicaConnection::handleConnectResult(ConnectResult result)
{
    this->lastConnectResult = result;
    if (result != ConnectResult::Connected) {
        this->connectFailure = result == ConnectResult::TunnelFailed
                                       ? ExchangeFailure::TunnelFailed
                                       : ExchangeFailure::NotConnected;
        this->broken = true;
        if (this->busy)
            this->fail(this->connectFailure);
        return;
    }
    this->connected = true;
    QObject::connect(this->socket, &QTcpSocket::readyRead, this->socket,
                     [this] { this->readByTurns(); });
    QObject::connect(this->socket, &QTcpSocket::errorOccurred, this->socket,
                     [this] { this->handleDisconnected(); });
    this->monitor = std::make_unique<PeerMonitor>(*this->socket, this->timers, networkTimeout,
                                                  [this] { this->handlePeerLost(); });
    const std::weak_ptr guard = this->lifetime;
    if (const auto request = std::exchange(this->unsentRequest, nullptr))
        this->writeNow(*request);
    if (guard.expired()) // the write failed, and the exchange with it
        return;
    // Nothing signals bytes that had filled the buffer before.
    if (!this->broken && this->socket->bytesAvailable() >= readBufferBytes)
        this->readByTurns();
}

void ReplicaConnection::writeNow(const ReplicaRequest &request)
{
    if (this->hooks->maySend && !this->hooks->maySend()) {
        this->broken = true;
        this->failLater(ExchangeFailure::NotConnected);
        return;
    }
    this->sentRequest = std::make_unique<ReplicaRequest>(request);
    this->socket->write(request.text);
    for (const QByteArray &part : request.following)
        this->socket->write(part);
    this->socket->flush(); // writes now instead of on the next event loop iteration
}

void ReplicaConnection::handleDisconnected()
{
    if (this->broken || this->upload)
        return;
    // The system reports the end of a dead connection by the last error of the network, if any.
    const ExchangeFailure failure = this->socket->error() == QAbstractSocket::RemoteHostClosedError
                                            ? ExchangeFailure::Closed
                                            : this->lossFailure();
    bool isResponseWhole = false;
    if (this->busy) {
        const std::weak_ptr guard = this->lifetime;
        this->readAvailable(); // bytes received before the close are still valid
        if (guard.expired() || !this->busy)
            return;
        const bool openEnded = this->headDelivered && this->decoder->head().bodyEndsAtClose;
        isResponseWhole = openEnded && !this->resetDetector.wasReset();
        if (isResponseWhole && this->completeUpload())
            return;
    }
    this->endExchange(isResponseWhole, failure);
}

bool ReplicaConnection::completeUpload()
{
    const qsizetype unsentBytes = this->sentRequest ? this->socket->bytesToWrite() : 0;
    const int descriptor = this->resetDetector.watchedDescriptor();
    if (unsentBytes == 0 && !UploadCompletion::hasUnacknowledged(descriptor))
        return false;
    this->monitor.reset();
    this->upload = std::make_unique<UploadCompletion>(
            descriptor, this->lastPartsOfRequest(unsentBytes), this->timers,
            [this](bool wasReset) { this->handleUploadEnded(wasReset); });
    return true;
}

std::vector<QByteArray> ReplicaConnection::lastPartsOfRequest(qsizetype bytes) const
{
    std::vector<QByteArray> parts;
    if (bytes == 0)
        return parts;
    parts.push_back(this->sentRequest->text);
    parts.insert(parts.end(), this->sentRequest->following.begin(),
                 this->sentRequest->following.end());
    qsizetype written = -bytes;
    for (const QByteArray &part : parts)
        written += part.size();
    while (written > 0) {
        const qsizetype skipped = std::min(written, parts.front().size());
        parts.front().remove(0, skipped);
        written -= skipped;
        if (parts.front().isEmpty())
            parts.erase(parts.begin());
    }
    return parts;
}

void ReplicaConnection::handleUploadEnded(bool wasReset)
{
    const std::unique_ptr<UploadCompletion> ended = std::move(this->upload);
    this->endExchange(!wasReset, ExchangeFailure::Closed);
}

void ReplicaConnection::endExchange(bool isResponseWhole, ExchangeFailure failure)
{
    if (isResponseWhole) {
        const std::weak_ptr guard = this->lifetime;
        this->decoder->appendEnd();
        this->deliverDecoded();
        if (guard.expired() || !this->busy)
            return;
    }
    this->broken = true;
    if (this->busy)
        this->fail(failure);
}

void ReplicaConnection::handlePeerLost()
{
    if (this->broken)
        return;
    this->broken = true;
    if (this->busy)
        this->fail(this->lossFailure());
}

ExchangeFailure ReplicaConnection::lossFailure() const
{
    return this->tunnelUse ? ExchangeFailure::TunnelLost : ExchangeFailure::Unreachable;
}

void ReplicaConnection::readByTurns()
{
    // Bytes outside an exchange are read only once, as they end the connection.
    if (!this->busy || this->socket->bytesAvailable() < readBufferBytes) {
        this->readAvailable();
        return;
    }
    this->reading->read([this, guard = std::weak_ptr(this->lifetime)] {
        if (!guard.expired() && !this->broken)
            this->readAvailable();
    });
}

void ReplicaConnection::readAvailable()
{
    const QByteArray bytes = this->socket->readAll();
    if (bytes.isEmpty())
        return;
    if (!this->busy) {
        this->trailing += bytes;
        this->abort(); // unsolicited bytes
        return;
    }
    this->decoder->append(bytes);
    this->deliverDecoded();
}

void ReplicaConnection::deliverDecoded()
{
    const std::weak_ptr guard = this->lifetime;
    const std::shared_ptr active = this->hooks; // stays valid if a hook calls abort()
    while (this->busy) {
        const DecodeState decoded = this->decoder->state();
        if (decoded < DecodeState::Body)
            return;
        if (decoded > DecodeState::Complete) {
            this->broken = true;
            this->fail(ExchangeFailure::Malformed);
            return;
        }
        if (!this->headDelivered && !this->beginResponse())
            return;
        const QByteArray body = this->decoder->takeBody();
        if (this->isUnrelatedResponse && !this->discard(body))
            return;
        if (!body.isEmpty() && !this->isUnrelatedResponse) {
            active->body(body);
            if (guard.expired() || !this->busy)
                return;
        }
        if (decoded != DecodeState::Complete)
            return;
        this->trailing = this->decoder->takeTrailingBytes();
        if (!this->isUnrelatedResponse) {
            const bool staysOpen = this->decoder->head().keepAlive && this->trailing.isEmpty()
                                   && !this->decoder->head().bodyEndsAtClose;
            this->broken = this->broken || !staysOpen;
            this->busy = false;
            this->hooks.reset();
            active->complete();
            return;
        }
        this->decoder = std::make_unique<ResponseDecoder>(this->isHeadRequest);
        this->headDelivered = false;
        this->isUnrelatedResponse = false;
        this->decoder->append(std::exchange(this->trailing, {}));
    }
}

bool ReplicaConnection::discard(const QByteArray &body)
{
    this->discardedBytes += body.size();
    const bool isTooMuch = this->discardedBytes > maximumDiscardedBytes;
    // The discarded response was cut, and the own one is read as its body.
    const bool holdsOther = findStatusLine(body) >= 0;
    if (!isTooMuch && !holdsOther)
        return true;
    this->broken = true;
    this->fail(holdsOther ? ExchangeFailure::Unattributed : ExchangeFailure::Malformed);
    return false;
}

bool ReplicaConnection::hasKnownEnd(const HttpResponseHead &head) const
{
    // Whether a body follows depends on the method of the request that was answered.
    const bool hasKnownMethod = this->headExchanges == 0 || this->headExchanges == this->exchanges;
    return hasKnownMethod && !head.bodyEndsAtClose;
}

bool ReplicaConnection::beginResponse()
{
    const std::weak_ptr guard = this->lifetime;
    const std::shared_ptr active = this->hooks; // stays valid if a hook calls abort()
    const HttpResponseHead &head = this->decoder->head();
    const ResponseAttribution attribution = active->attribute(head);
    const bool isOther = attribution == ResponseAttribution::Other;
    if (attribution == ResponseAttribution::Unknown || (isOther && !this->hasKnownEnd(head))) {
        this->broken = true;
        this->fail(ExchangeFailure::Unattributed);
        return false;
    }
    this->headDelivered = true;
    this->isUnrelatedResponse = isOther;
    this->discarded += this->isUnrelatedResponse ? 1 : 0;
    if (this->discarded > maximumDiscardedResponses) {
        this->broken = true;
        this->fail(ExchangeFailure::Malformed);
        return false;
    }
    if (head.bodyEndsAtClose)
        this->resetDetector.watch(*this->socket);
    if (this->socket->bytesToWrite() == 0)
        this->sentRequest.reset();
    if (!this->isUnrelatedResponse)
        active->head(head);
    return !guard.expired() && this->busy;
}

void ReplicaConnection::failLater(ExchangeFailure reason)
{
    this->timers.post([this, reason, guard = std::weak_ptr(this->lifetime)] {
        if (!guard.expired())
            this->fail(reason);
    });
}

void ReplicaConnection::fail(ExchangeFailure reason)
{
    this->busy = false;
    if (const std::shared_ptr ended = std::exchange(this->hooks, nullptr))
        ended->failed(reason);
}

} // namespace lacewingmux

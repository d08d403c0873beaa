#include "lacewingmux_gateway/ingress/IngressConnection.h"

#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/http/MemoryAccount.h"
#include "lacewingmux_tunnel/sockets/SocketOptions.h"

#include <QPointer>
#include <QTcpSocket>

#include <tuple>
#include <utility>

namespace lacewingmux {

namespace {

// Twice the longest gap that a caller tolerates.
constexpr std::chrono::milliseconds callerUnresponsiveTimeout{4000};
constexpr std::chrono::milliseconds lingerTimeout{300}; // lets the caller read the last response
constexpr qint64 readBufferBytes = qint64{64} * 1024;   // limits the memory for unread bytes
// Time in which a caller usually sends its next request after a response.
constexpr std::chrono::milliseconds nextRequestWindow{250};
constexpr int requestTimeoutStatus = 408;
constexpr int unavailableStatus = 503;

int errorStatus(DecodeState state)
{
    switch (state) {
    case DecodeState::HeadTooLarge:
        return 431;
    case DecodeState::BodyTooLarge:
        return 413;
    default:
        return 400;
    }
}

} // namespace

IngressConnection::IngressConnection(QTcpSocket *callerSocket, const HttpLimits &httpLimits,
                                     std::shared_ptr<MemoryAccount> callerMemory,
                                     TimerService &timerService, Hooks connectionHooks)
    : socket(callerSocket)
    , limits(httpLimits)
    , waitLimits(httpLimits)
    , memory(std::move(callerMemory))
    , timers(timerService)
    , hooks(std::move(connectionHooks))
    , decoder(httpLimits)
    , readingSince(timerService.now())
    , lastWritten(timerService.now())
{
    this->socket->setReadBufferSize(readBufferBytes);
    configureSocket(*this->socket, callerUnresponsiveTimeout);
}

IngressConnection::~IngressConnection()
{
    QObject::disconnect(this->socket, nullptr, nullptr, nullptr);
    if (this->state != State::Closed)
        this->socket->abort();
    this->socket->deleteLater();
    std::ignore = this->memory->resize(this->accountedBytes, 0);
}

void IngressConnection::setLimits(const HttpLimits &httpLimits)
{
    this->limits = httpLimits;
    this->waitLimits = this->waitLimits.widenedBy(httpLimits);
    this->decoder.setLimits(httpLimits);
}

void IngressConnection::start()
{
    QObject::connect(this->socket, &QTcpSocket::readyRead, this->socket,
                     [this] { this->readAvailable(); });
    QObject::connect(this->socket, &QTcpSocket::disconnected, this->socket,
                     [this] { this->handleDisconnect(); });
    QObject::connect(this->socket, &QTcpSocket::bytesWritten, this->socket, [this] {
        this->lastWritten = this->timers.now();
        std::ignore = this->accountMemory();
    });
    this->readAvailable();
}

void IngressConnection::sendResponse(int status, const QByteArray &reason, HttpFields fields,
                                     const QByteArray &body)
{
    if (!this->mayBeginResponse())
        return;
    fields.push_back({QByteArrayLiteral("Content-Length"), QByteArray::number(body.size())});
    QByteArray text =
            responseHeadText(status, reason, this->withConnectionField(std::move(fields)));
    if (!this->isHeadMethod)
        text += body;
    this->writeNow(text);
    this->finishResponse();
}

void IngressConnection::beginStream(int status, const QByteArray &reason, HttpFields fields,
                                    const QByteArray &firstChunk)
{
    if (!this->mayBeginResponse())
        return;
    this->state = State::Streaming;
    fields.push_back({QByteArrayLiteral("Transfer-Encoding"), QByteArrayLiteral("chunked")});
    QByteArray text =
            responseHeadText(status, reason, this->withConnectionField(std::move(fields)));
    if (!firstChunk.isEmpty())
        text += encodeChunk(firstChunk);
    this->writeNow(text);
}

void IngressConnection::sendChunk(const QByteArray &data)
{
    if (this->state == State::Streaming && !data.isEmpty())
        this->writeNow(encodeChunk(data));
}

void IngressConnection::endStream()
{
    if (this->state != State::Streaming)
        return;
    this->writeNow(lastChunk());
    this->finishResponse();
}

void IngressConnection::abort()
{
    if (this->state == State::Closed)
        return;
    this->state = State::Closed;
    QObject::disconnect(this->socket, nullptr, nullptr, nullptr);
    this->socket->abort();
    this->hooks.closed();
}

void IngressConnection::enforceTimeouts()
{
    this->abortUnlessRead();
    if (this->state != State::Reading)
        return;
    const auto waited = this->timers.now() - this->readingSince;
    switch (this->decoder.state()) {
    case DecodeState::Empty:
        if (waited >= this->waitLimits.idleTimeout)
            this->closeNow();
        break;
    case DecodeState::Head:
        if (waited >= this->waitLimits.headerTimeout)
            this->sendErrorStatus(requestTimeoutStatus);
        break;
    default:
        if (waited >= this->waitLimits.headerTimeout + this->waitLimits.idleTimeout)
            this->sendErrorStatus(requestTimeoutStatus);
        break;
    }
}

void IngressConnection::closeAfterResponse()
{
    this->closeRequested = true;
}

void IngressConnection::closeIfIdle()
{
    const bool mayBeAboutToSend = this->timers.now() - this->readingSince < nextRequestWindow;
    if (!mayBeAboutToSend && this->state == State::Reading
        && this->decoder.state() == DecodeState::Empty && this->socket->bytesAvailable() == 0)
        this->closeNow();
}

void IngressConnection::refusePartialRequest()
{
    if (this->state == State::Reading && this->decoder.state() != DecodeState::Empty
        && this->decoder.state() < DecodeState::Complete)
        this->sendErrorStatus(unavailableStatus);
}

qint64 IngressConnection::unsentBytes() const
{
    return this->socket->bytesToWrite();
}

void IngressConnection::readAvailable()
{
    if (this->state == State::Closing) {
        this->socket->readAll();
        return;
    }
    if (this->state != State::Reading)
        return;
    const QByteArray bytes = this->socket->readAll();
    if (bytes.isEmpty())
        return;
    if (this->decoder.state() == DecodeState::Empty)
        this->startWaiting();
    this->decoder.append(bytes);
    if (this->accountMemory())
        this->processDecoderState();
    else
        this->sendErrorStatus(unavailableStatus);
}

void IngressConnection::startWaiting()
{
    this->readingSince = this->timers.now();
    this->waitLimits = this->limits;
}

void IngressConnection::processDecoderState()
{
    const DecodeState decoded = this->decoder.state();
    if (decoded == DecodeState::Complete) {
        this->dispatchRequest();
    } else if (decoded > DecodeState::Complete) {
        this->sendErrorStatus(errorStatus(decoded));
    } else if (!this->continueSent && this->decoder.expectsContinue()) {
        this->continueSent = true;
        this->socket->write(QByteArrayLiteral("HTTP/1.1 100 Continue\r\n\r\n"));
    }
}

void IngressConnection::dispatchRequest()
{
    HttpRequest request = this->decoder.take();
    this->keepAlive = request.keepAlive;
    this->continueSent = false;
    this->isHeadMethod = request.method == "HEAD";
    this->servedRequestBytes = request.body.size();
    this->state = State::Serving;
    this->hooks.requestArrived(std::move(request));
}

void IngressConnection::sendErrorStatus(int status)
{
    this->state = State::Serving;
    this->keepAlive = false;
    this->isHeadMethod = false;
    this->decoder.discard();
    this->sendResponse(status, reasonPhrase(status), {}, {});
}

void IngressConnection::writeNow(const QByteArray &text)
{
    this->socket->write(text);
    this->socket->flush(); // writes now instead of on the next event loop iteration
    if (this->accountMemory())
        return;
    // The owner must not be notified of the end of the connection within its own call.
    this->timers.post([guard = QPointer<QTcpSocket>(this->socket)] {
        if (guard)
            guard->abort();
    });
}

bool IngressConnection::accountMemory()
{
    const qsizetype bytes = this->decoder.bufferedBytes() + this->servedRequestBytes
                            + static_cast<qsizetype>(this->socket->bytesToWrite());
    const qsizetype before = std::exchange(this->accountedBytes, bytes);
    return this->memory->resize(before, bytes);
}

void IngressConnection::abortUnlessRead()
{
    const bool isComplete = this->state == State::Reading || this->state == State::Closing;
    if (isComplete && this->unsentBytes() > 0
        && this->timers.now() - this->lastWritten >= this->limits.idleTimeout)
        this->socket->abort();
}

void IngressConnection::finishResponse()
{
    if (this->state == State::Closed)
        return; // the caller disconnected during the write
    this->servedRequestBytes = 0;
    this->lastWritten = this->timers.now();
    std::ignore = this->accountMemory();
    // Without "Connection: close" the caller may already have sent its next request: read it.
    if (this->closeAnnounced) {
        this->lingerAndClose();
        return;
    }
    this->state = State::Reading;
    this->startWaiting();
    if (this->decoder.state() >= DecodeState::Complete)
        this->timers.post([this, guard = QPointer<QTcpSocket>(this->socket)] {
            if (guard && this->state == State::Reading)
                this->processDecoderState();
        });
    else if (this->socket->bytesAvailable() > 0)
        this->timers.post([this, guard = QPointer<QTcpSocket>(this->socket)] {
            if (guard)
                this->readAvailable();
        });
}

void IngressConnection::lingerAndClose()
{
    // Closing with unread bytes would reset the connection and could discard the response.
    this->state = State::Closing;
    this->lingerTimer =
            this->timers.after(lingerTimeout, [this] { this->socket->disconnectFromHost(); });
}

void IngressConnection::closeNow()
{
    this->state = State::Closing;
    this->socket->disconnectFromHost();
}

void IngressConnection::handleDisconnect()
{
    if (this->state == State::Closed)
        return;
    const bool serving = this->isServing();
    this->state = State::Closed;
    if (serving)
        this->hooks.callerDisconnected();
    this->hooks.closed();
}

bool IngressConnection::mayBeginResponse()
{
    if (this->state == State::Streaming)
        this->abort();
    return this->state == State::Serving;
}

bool IngressConnection::hasNextRequest() const
{
    return this->decoder.state() != DecodeState::Empty || this->decoder.pendingBytes() > 0
           || this->socket->bytesAvailable() > 0;
}

HttpFields IngressConnection::withConnectionField(HttpFields fields)
{
    this->closeAnnounced = !this->keepAlive || (this->closeRequested && !this->hasNextRequest());
    if (this->closeAnnounced)
        fields.push_back({QByteArrayLiteral("Connection"), QByteArrayLiteral("close")});
    return fields;
}

} // namespace lacewingmux

#include "lacewingmux_gateway/ingress/IngressConnection.h"

#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/http/SocketOptions.h"

#include <QPointer>
#include <QTcpSocket>

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds callerSilence{4000}; // twice the longest gap a caller bears
constexpr std::chrono::milliseconds lingerTime{300};     // for a refused caller to read the answer
constexpr qint64 readBufferBytes = qint64{64} * 1024; // unread bytes count against the VM's memory
// In which a caller goes on after an answer.
constexpr std::chrono::milliseconds nextRequestTime{250};
constexpr int requestTimeoutStatus = 408;

int refusalStatus(DecodeState state)
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
                                     TimerService &timerService, Hooks connectionHooks)
    : socket(callerSocket)
    , limits(httpLimits)
    , timers(timerService)
    , hooks(std::move(connectionHooks))
    , decoder(httpLimits)
    , waitingSince(timerService.now())
{
    this->socket->setReadBufferSize(readBufferBytes);
    configureSocket(*this->socket, callerSilence);
}

IngressConnection::~IngressConnection()
{
    QObject::disconnect(this->socket, nullptr, nullptr, nullptr);
    if (this->state != State::Closed)
        this->socket->abort();
    this->socket->deleteLater();
}

void IngressConnection::start()
{
    QObject::connect(this->socket, &QTcpSocket::readyRead, this->socket,
                     [this] { this->readAvailable(); });
    QObject::connect(this->socket, &QTcpSocket::disconnected, this->socket,
                     [this] { this->handleDisconnect(); });
    this->readAvailable();
}

void IngressConnection::sendAnswer(int status, const QByteArray &reason, HttpFields fields,
                                   const QByteArray &body)
{
    if (this->state != State::Serving)
        return;
    fields.push_back({QByteArrayLiteral("Content-Length"), QByteArray::number(body.size())});
    QByteArray text =
            responseHeadText(status, reason, this->withConnectionField(std::move(fields)));
    if (!this->headRequest)
        text += body;
    this->writeNow(text);
    this->finishAnswer();
}

void IngressConnection::beginStream(int status, const QByteArray &reason, HttpFields fields,
                                    const QByteArray &firstPart)
{
    if (this->state != State::Serving)
        return;
    this->state = State::Streaming;
    fields.push_back({QByteArrayLiteral("Transfer-Encoding"), QByteArrayLiteral("chunked")});
    QByteArray text =
            responseHeadText(status, reason, this->withConnectionField(std::move(fields)));
    if (!firstPart.isEmpty())
        text += encodeChunk(firstPart);
    this->writeNow(text);
}

void IngressConnection::sendPart(const QByteArray &part)
{
    if (this->state == State::Streaming && !part.isEmpty())
        this->writeNow(encodeChunk(part));
}

void IngressConnection::endStream()
{
    if (this->state != State::Streaming)
        return;
    this->writeNow(lastChunk());
    this->finishAnswer();
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
    if (this->state != State::Reading)
        return;
    const auto waited = this->timers.now() - this->waitingSince;
    switch (this->decoder.state()) {
    case DecodeState::Empty:
        if (waited >= this->limits.idleTimeout)
            this->closeAtOnce();
        break;
    case DecodeState::Head:
        if (waited >= this->limits.headerTimeout)
            this->refuse(requestTimeoutStatus);
        break;
    default:
        if (waited >= this->limits.headerTimeout + this->limits.idleTimeout)
            this->refuse(requestTimeoutStatus);
        break;
    }
}

void IngressConnection::closeAfterAnswer()
{
    this->lastAnswer = true;
}

void IngressConnection::closeIfIdle()
{
    const bool mayBeAboutToSend = this->timers.now() - this->waitingSince < nextRequestTime;
    if (!mayBeAboutToSend && this->state == State::Reading
        && this->decoder.state() == DecodeState::Empty && this->socket->bytesAvailable() == 0)
        this->closeAtOnce();
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
        this->waitingSince = this->timers.now();
    this->decoder.append(bytes);
    this->examine();
}

void IngressConnection::examine()
{
    const DecodeState decoded = this->decoder.state();
    if (decoded == DecodeState::Complete) {
        this->handOver();
    } else if (decoded > DecodeState::Complete) {
        this->refuse(refusalStatus(decoded));
    } else if (!this->continueSent && this->decoder.expectsContinue()) {
        this->continueSent = true;
        this->socket->write(QByteArrayLiteral("HTTP/1.1 100 Continue\r\n\r\n"));
    }
}

void IngressConnection::handOver()
{
    HttpRequest request = this->decoder.take();
    this->keepAlive = request.keepAlive;
    this->continueSent = false;
    this->headRequest = request.method == "HEAD";
    this->state = State::Serving;
    this->hooks.requestArrived(std::move(request));
}

void IngressConnection::refuse(int status)
{
    this->state = State::Serving;
    this->keepAlive = false;
    this->headRequest = false;
    this->sendAnswer(status, reasonPhrase(status), {}, {});
}

void IngressConnection::writeNow(const QByteArray &text)
{
    this->socket->write(text);
    this->socket->flush(); // saves the loop a turn to find out that the socket can be written
}

void IngressConnection::finishAnswer()
{
    if (this->state == State::Closed)
        return; // the caller left while the answer was written
    // Without notice the caller may have sent its next request already, so that one is still read.
    if (this->closeAnnounced) {
        this->lingerAndClose();
        return;
    }
    this->state = State::Reading;
    this->waitingSince = this->timers.now();
    if (this->decoder.state() >= DecodeState::Complete)
        this->timers.post([this, guard = QPointer<QTcpSocket>(this->socket)] {
            if (guard && this->state == State::Reading)
                this->examine();
        });
    else if (this->socket->bytesAvailable() > 0)
        this->timers.post([this, guard = QPointer<QTcpSocket>(this->socket)] {
            if (guard)
                this->readAvailable();
        });
}

void IngressConnection::lingerAndClose()
{
    // Closing with bytes unread would reset the connection and could take the answer with it.
    this->state = State::Closing;
    this->linger = this->timers.after(lingerTime, [this] { this->socket->disconnectFromHost(); });
}

void IngressConnection::closeAtOnce()
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
        this->hooks.callerLeft();
    this->hooks.closed();
}

HttpFields IngressConnection::withConnectionField(HttpFields fields)
{
    this->closeAnnounced = !this->keepAlive || this->lastAnswer;
    if (this->closeAnnounced)
        fields.push_back({QByteArrayLiteral("Connection"), QByteArrayLiteral("close")});
    return fields;
}

} // namespace lacewingmux

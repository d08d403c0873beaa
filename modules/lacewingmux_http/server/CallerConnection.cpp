#include "lacewingmux_http/server/CallerConnection.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_http/server/CallerAnswer.h"
#include "lacewingmux_http/server/CallerRequest.h"
#include "lacewingmux_http/server/CallerServer.h"
#include "lacewingmux_http/server/ParserSocket.h"
#include "lacewingmux_tunnel/sockets/ResetDetector.h"

#include <QTcpSocket>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr qint64 readBufferBytes = 65536;

} // namespace

CallerConnection::CallerConnection(CallerServer &owningServer, qintptr socketDescriptor)
    : server(owningServer)
    , socket(new QTcpSocket(this))
    , parser(new ParserSocket(*this))
    , lastActivity(owningServer.timerService().now())
{
    this->socket->setReadBufferSize(readBufferBytes);
    this->socket->setSocketDescriptor(socketDescriptor);
    this->socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(this->socket, &QTcpSocket::readyRead, this, [this] { this->readInput(); });
    QObject::connect(this->socket, &QTcpSocket::disconnected, this,
                     [this] { this->disconnected(); });
    QObject::connect(this->socket, &QTcpSocket::bytesWritten, this,
                     [this] { this->lastActivity = this->server.timerService().now(); });
}

CallerConnection::~CallerConnection()
{
    QObject::disconnect(this->socket, nullptr, this, nullptr);
    this->forgetAnswers();
}

ParserSocket *CallerConnection::parserSocket() const
{
    return this->parser;
}

void CallerConnection::requestParsed(CallerRequest request)
{
    this->requestComplete = true;
    this->requestStarted.reset();
    const auto answer = std::make_shared<CallerAnswer>(*this, request.method == "HEAD",
                                                       this->head.chunkedAnswers);
    if (!this->head.keepAlive)
        answer->closeAfterwards();
    answer->firstInLine = this->answers.empty();
    this->answers.push_back(answer);
    this->server.handleCallerRequest(std::move(request), answer);
}

bool CallerConnection::closesAfterNextAnswer() const
{
    return this->phase == Phase::InputClosed
           || (this->server.isDraining() && this->answers.size() <= 1);
}

void CallerConnection::write(const QByteArray &bytes)
{
    if (bytes.isEmpty())
        return;
    if (this->socket->bytesToWrite() == 0)
        this->lastActivity = this->server.timerService().now();
    if (this->socket->bytesToWrite() > this->server.limits().unsentAnswerBytes) {
        this->socket->abort();
        return;
    }
    this->socket->write(bytes);
    this->socket->flush();
}

void CallerConnection::answerEnded()
{
    while (!this->answers.empty() && this->answers.front()->ended) {
        const std::shared_ptr<const CallerAnswer> answer = this->answers.front();
        this->answers.pop_front();
        if (answer->endLooksWhole) {
            resetConnection(*this->socket);
            return;
        }
        if (answer->last) {
            this->closeAfterAnswers();
            return;
        }
        if (this->answers.empty())
            break;
        CallerAnswer &next = *this->answers.front();
        next.firstInLine = true;
        this->write(std::exchange(next.waiting, QByteArray()));
    }
    this->processInput();
}

void CallerConnection::enforceTimeLimits(TimerService::SteadyTime now)
{
    const ServerLimits &limits = this->server.limits();
    // A refused caller may go on sending, and need not have its refusal.
    const bool isSending = this->socket->bytesToWrite() > 0;
    if (this->closingSince.has_value() && (this->refused || !isSending)) {
        if (now - *this->closingSince > limits.linger)
            this->socket->abort();
        return;
    }
    if (isSending) {
        if (now - this->lastActivity > limits.stalledAnswer)
            this->socket->abort();
        return;
    }
    if (this->requestStarted.has_value()) {
        if (now - *this->requestStarted > limits.slowRequest)
            this->refuse(LacewingmuxError(ErrorKind::MalformedRequest,
                                          QStringLiteral("the request took too long to arrive")));
        return;
    }
    if (this->answers.empty() && now - this->lastActivity > limits.idle)
        this->socket->abort();
}

bool CallerConnection::isBusy() const
{
    return !this->answers.empty() || this->requestStarted.has_value()
           || this->socket->bytesToWrite() > 0;
}

void CallerConnection::readInput()
{
    this->lastActivity = this->server.timerService().now();
    if (this->phase == Phase::InputClosed) {
        this->socket->readAll(); // so that the refusal reaches a caller that is still sending
        return;
    }
    this->processInput();
}

void CallerConnection::processInput()
{
    if (this->processing)
        return;
    this->processing = true;
    bool progress = true;
    while (progress && this->phase != Phase::InputClosed
           && static_cast<int>(this->answers.size()) < this->server.limits().pipelinedRequests) {
        this->input += this->socket->readAll();
        progress = this->phase == Phase::ReadingHead ? this->processHead() : this->processBody();
    }
    this->processing = false;
}

bool CallerConnection::processHead()
{
    const auto firstByte = std::find_if(this->input.begin(), this->input.end(),
                                        [](char byte) { return byte != '\r' && byte != '\n'; });
    this->input.remove(0, firstByte - this->input.begin());
    if (this->input.isEmpty())
        return false;
    if (!this->requestStarted.has_value())
        this->requestStarted = this->server.timerService().now();

    const ServerLimits &limits = this->server.limits();
    const qsizetype headLength = RequestHead::lengthIn(this->input);
    if (headLength > limits.headBytes
        || (headLength == 0 && this->input.size() > limits.headBytes)) {
        this->refuse(LacewingmuxError(ErrorKind::MalformedRequest,
                                      QStringLiteral("the request's headers are too long")));
        return false;
    }
    if (headLength == 0)
        return false;

    const QByteArray headBytes = this->input.left(headLength);
    this->input.remove(0, headLength);
    try {
        this->head = RequestHead::parse(headBytes);
    } catch (const LacewingmuxError &error) {
        this->refuse(error);
        return false;
    }
    if (this->head.contentLength > limits.bodyBytes) {
        this->refuse(LacewingmuxError(
                ErrorKind::BodyTooLarge,
                QStringLiteral("the body is longer than %1 bytes").arg(limits.bodyBytes)));
        return false;
    }
    if (this->head.expectContinue && this->answers.empty())
        this->write("HTTP/1.1 100 Continue\r\n\r\n");
    this->phase = Phase::ReadingBody;
    this->bodyBytesFed = 0;
    this->requestComplete = false;
    this->feedParser(headBytes);
    return true;
}

bool CallerConnection::processBody()
{
    if (!this->requestComplete && this->input.isEmpty()
        && (this->head.chunked || this->bodyBytesFed < this->head.contentLength))
        return false;
    if (!this->requestComplete) {
        const qsizetype size =
                this->head.chunked
                        ? this->input.size()
                        : std::min<qsizetype>(this->input.size(),
                                              this->head.contentLength - this->bodyBytesFed);
        const QByteArray piece = this->input.left(size);
        this->input.remove(0, size);
        this->bodyBytesFed += size;
        if (this->bodyBytesFed > this->server.limits().bodyBytes + readBufferBytes) {
            this->refuse(LacewingmuxError(ErrorKind::BodyTooLarge,
                                          QStringLiteral("the body is longer than %1 bytes")
                                                  .arg(this->server.limits().bodyBytes)));
            return false;
        }
        this->feedParser(piece);
    }
    if (this->phase == Phase::InputClosed)
        return false;
    if (this->requestComplete) {
        this->phase = this->head.keepAlive ? Phase::ReadingHead : Phase::InputClosed;
        return true;
    }
    if (!this->head.chunked && this->bodyBytesFed == this->head.contentLength) {
        this->refuse(LacewingmuxError(ErrorKind::MalformedRequest,
                                      QStringLiteral("the request is not valid HTTP/1.1")));
        return false;
    }
    return !this->input.isEmpty();
}

void CallerConnection::feedParser(const QByteArray &bytes)
{
    if (this->parser && !this->parser->hasFailed())
        this->parser->feed(bytes);
    if (this->requestComplete || (this->parser && !this->parser->hasFailed()))
        return;
    this->refuse(LacewingmuxError(ErrorKind::MalformedRequest,
                                  QStringLiteral("the request is not valid HTTP/1.1")));
}

void CallerConnection::refuse(const LacewingmuxError &error)
{
    this->server.countRefusal(error.kind());
    this->refused = true;
    this->phase = Phase::InputClosed;
    this->requestStarted.reset();
    this->input.clear();
    const auto answer = std::make_shared<CallerAnswer>(*this, false, this->head.chunkedAnswers);
    answer->closeAfterwards();
    answer->firstInLine = this->answers.empty();
    this->answers.push_back(answer);
    answer->fail(error);
}

void CallerConnection::closeAfterAnswers()
{
    this->phase = Phase::InputClosed;
    this->input.clear();
    this->forgetAnswers();
    this->closingSince = this->server.timerService().now();
    if (this->refused)
        this->socket->readAll();
    else
        this->socket->disconnectFromHost();
}

void CallerConnection::forgetAnswers()
{
    const auto abandoned = std::exchange(this->answers, {});
    for (const auto &answer : abandoned)
        answer->callerGone();
}

void CallerConnection::disconnected()
{
    this->phase = Phase::InputClosed;
    this->forgetAnswers();
    this->server.connectionClosed(*this);
    this->deleteLater();
}

} // namespace lacewingmux

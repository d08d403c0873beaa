#include "lacewingmux_backend/clients/HttpExchange.h"

#include "lacewingmux_backend/clients/ConnectionPool.h"
#include "lacewingmux_backend/clients/ForwardedHeaders.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_keyvalue/client/SingleUseBody.h"

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds connectTimeLimit{2000};
constexpr qint64 readBufferBytes = qint64{1024} * 1024;

QNetworkRequest requestFor(const BackendCall &call)
{
    QUrl url = call.server;
    const qsizetype queryStart = call.path.indexOf('?');
    const QByteArray path = queryStart < 0 ? call.path : call.path.left(queryStart);
    url.setPath(url.path() + QString::fromUtf8(path));
    if (queryStart >= 0)
        url.setQuery(QString::fromUtf8(call.path.mid(queryStart + 1)));

    QNetworkRequest request(url);
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
    request.setHeader(QNetworkRequest::ContentLengthHeader, call.body.size());
    request.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray("application/octet-stream"));
    request.setRawHeader("User-Agent", "lacewingmux");
    request.setRawHeader("Accept-Encoding", "identity");
    for (const HttpHeader &header : call.headers) {
        if (isForwardedToBackend(header.name))
            request.setRawHeader(header.name, header.value);
    }
    if (!call.requestId.isEmpty())
        request.setRawHeader("Lacewingmux-Request-Id", call.requestId.toUtf8());
    if (!call.idempotent) {
        request.setRawHeader("Connection", "close");
        if (!request.hasRawHeader("Idempotency-Key"))
            request.setRawHeader("Idempotency-Key", call.requestId.toUtf8());
    }
    return request;
}

/** Returns whether the error only reflects the status of a complete response. */
bool isStatusError(QNetworkReply::NetworkError error)
{
    const bool content = error >= QNetworkReply::ContentAccessDenied
                         && error <= QNetworkReply::UnknownContentError
                         && error != QNetworkReply::ContentReSendError;
    const bool server = error >= QNetworkReply::InternalServerError
                        && error <= QNetworkReply::UnknownServerError;
    return content || server;
}

/** Returns whether the error means that no connection was established. */
bool isConnectError(QNetworkReply::NetworkError error)
{
    return error == QNetworkReply::ConnectionRefusedError
           || error == QNetworkReply::HostNotFoundError;
}

} // namespace

HttpExchange::HttpExchange(ConnectionPool &connections, TimerService &timers,
                           const BackendCall &call, BackendRunListener runListener)
    : listener(std::move(runListener))
    , requestId(call.requestId)
    , maxResponseBytes(call.maxResponseBytes)
    , manager(call.idempotent ? connections.acquire(call.server)
                              : ConnectionPool::createDedicated())
{
    this->send(call);
    this->connectHandlers(timers, call);
}

HttpExchange::~HttpExchange()
{
    if (!this->reply)
        return;
    this->reply->disconnect();
    this->reply->abort();
    this->reply->deleteLater();
}

void HttpExchange::send(const BackendCall &call)
{
    this->body = new SingleUseBody(call.body);
    this->reply = this->manager->sendCustomRequest(requestFor(call), call.method, this->body);
    this->body->setParent(this->reply);
    this->reply->setReadBufferSize(readBufferBytes);
}

void HttpExchange::connectHandlers(TimerService &timers, const BackendCall &call)
{
    QObject::connect(this->reply, &QNetworkReply::readyRead, this->reply,
                     [this] { this->readBody(); });
    // Queued, so that the exchange cannot finish before the constructor returns.
    QObject::connect(
            this->reply, &QNetworkReply::finished, this->reply, [this] { this->finish(); },
            Qt::QueuedConnection);
    QObject::connect(this->reply, &QNetworkReply::requestSent, this->reply,
                     [this] { this->connectTimeout.cancel(); });
    this->timeout =
            timers.after(call.timeout, [this] { this->abortWith(BackendFailure::TimedOut); });
    this->connectTimeout = timers.after(std::min(connectTimeLimit, call.timeout), [this] {
        // The request's header may have been sent, so it is unknown whether the call ran.
        if (this->body->size() > 0 && this->body->isUntouched())
            this->abortWith(BackendFailure::ConnectionLost);
    });
}

void HttpExchange::readBody()
{
    if (this->abortReason != BackendFailure::None || !this->reply->isOpen())
        return;
    const QByteArray bytes = this->reply->readAll();
    if (bytes.isEmpty())
        return;
    this->received += bytes;
    if (this->received.size() > this->maxResponseBytes) {
        this->abortWith(BackendFailure::ResponseTooLarge);
        return;
    }
    const int status = this->reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (this->listener.chunk && status == 200 && !this->isForAnotherRequest())
        this->listener.chunk(bytes);
}

void HttpExchange::abortWith(BackendFailure reason)
{
    if (!this->reply || this->reply->isFinished())
        return;
    this->abortReason = reason;
    this->reply->abort();
}

void HttpExchange::finish()
{
    this->timeout.cancel();
    this->connectTimeout.cancel();
    const std::weak_ptr<char> alive = this->lifetimeToken;
    this->readBody();
    if (alive.expired())
        return; // the chunk callback destroyed this exchange
    const BackendResponse response = this->makeResponse();
    this->reply->disconnect();
    this->reply->deleteLater();
    this->reply.clear();
    this->manager.reset();
    const auto finished = std::move(this->listener.finished);
    finished(response);
}

BackendResponse HttpExchange::makeResponse()
{
    BackendResponse response;
    response.message = this->reply->errorString();
    if (this->abortReason == BackendFailure::None && this->isResponseComplete()) {
        this->readStatusAndHeaders(response);
        response.body = this->received;
        if (this->isForAnotherRequest()) {
            response.failure = BackendFailure::MismatchedResponse;
            response.executed = Executed::Unknown;
            response.message = QStringLiteral("the answer is marked as another request's");
        }
        return response;
    }

    // Only a refusal of the first connection proves that nothing was sent: a server can run a
    // request by its header alone.
    const bool notSent = isConnectError(this->reply->error()) && this->body->isUntouched();
    if (notSent)
        response.failure = BackendFailure::NotSent;
    else if (this->abortReason != BackendFailure::None)
        response.failure = this->abortReason;
    else
        response.failure = BackendFailure::ConnectionLost;
    response.executed = notSent ? Executed::No : Executed::Unknown;
    return response;
}

void HttpExchange::readStatusAndHeaders(BackendResponse &response) const
{
    response.httpStatus = this->reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    for (const auto &field : this->reply->rawHeaderPairs()) {
        if (isForwardedToCaller(field.first))
            response.headers.push_back({field.first, field.second});
    }
}

bool HttpExchange::isResponseComplete() const
{
    const int status = this->reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const QNetworkReply::NetworkError error = this->reply->error();
    if (status == 0 || (error != QNetworkReply::NoError && !isStatusError(error)))
        return false;
    // QNetworkAccessManager accepts a body that is shorter than its Content-Length as complete.
    const QVariant length = this->reply->header(QNetworkRequest::ContentLengthHeader);
    const bool isHead =
            this->reply->operation() == QNetworkAccessManager::HeadOperation
            || this->reply->request().attribute(QNetworkRequest::CustomVerbAttribute).toByteArray()
                       == "HEAD";
    return isHead || !length.isValid() || length.toLongLong() == this->received.size();
}

bool HttpExchange::isForAnotherRequest() const
{
    const QByteArray markedRequestId = this->reply->rawHeader("Lacewingmux-Request-Id");
    return !markedRequestId.isEmpty() && markedRequestId != this->requestId.toUtf8();
}

} // namespace lacewingmux

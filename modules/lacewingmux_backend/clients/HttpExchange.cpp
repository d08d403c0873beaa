#include "lacewingmux_backend/clients/HttpExchange.h"

#include "lacewingmux_backend/clients/ConnectionPool.h"
#include "lacewingmux_backend/clients/ForwardedHeaders.h"
#include "lacewingmux_backend/clients/FramedBody.h"
#include "lacewingmux_backend/clients/UnframedBody.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaRequest.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr int httpOk = 200;
constexpr int firstErrorStatus = 400;

/** Returns the path and query of the request, as they are sent. */
QByteArray targetOf(const BackendCall &call)
{
    QUrl url = call.server;
    const qsizetype queryStart = call.path.indexOf('?');
    const QByteArray path = queryStart < 0 ? call.path : call.path.left(queryStart);
    url.setPath(url.path() + QString::fromUtf8(path));
    if (queryStart >= 0)
        url.setQuery(QString::fromUtf8(call.path.mid(queryStart + 1)));
    const QByteArray target =
            url.toEncoded(QUrl::RemoveScheme | QUrl::RemoveAuthority | QUrl::RemoveFragment);
    return target.startsWith('/') ? target : '/' + target;
}

HttpFields fieldsOf(const BackendCall &call)
{
    HttpFields fields;
    fields.push_back({"Host", call.server.authority(QUrl::FullyEncoded).toUtf8()});
    fields.push_back({"User-Agent", "lacewingmux"});
    fields.push_back({"Accept-Encoding", "identity"});
    for (const HttpHeader &header : call.headers) {
        if (isForwardedToBackend(header.name))
            fields.push_back({header.name, header.value});
    }
    if (fieldValue(fields, "Content-Type").isNull())
        fields.push_back({"Content-Type", "application/octet-stream"});
    if (!call.requestId.isEmpty())
        fields.push_back({"Lacewingmux-Request-Id", call.requestId.toUtf8()});
    if (!call.idempotent) {
        fields.push_back({"Connection", "close"});
        if (fieldValue(fields, "Idempotency-Key").isNull())
            fields.push_back({"Idempotency-Key", call.requestId.toUtf8()});
    }
    return fields;
}

} // namespace

HttpExchange::HttpExchange(ConnectionPool &connectionPool, TimerService &timerService,
                           const BackendCall &call, BackendRunListener runListener)
    : listener(std::move(runListener))
    , connections(connectionPool)
    , timers(timerService)
    , server(call.server)
    , requestId(call.requestId.toUtf8())
    , maxResponseBytes(call.maxResponseBytes)
    , connection(call.idempotent ? connectionPool.acquire(call.server)
                                 : connectionPool.createDedicated(call.server))
    , isIdempotent(call.idempotent)
{
    this->timeout = this->timers.after(call.timeout, [this] { this->timedOut(); });
    this->send(call);
}

HttpExchange::~HttpExchange()
{
    if (this->connection)
        this->connection->abort();
}

void HttpExchange::send(const BackendCall &call)
{
    ReplicaConnection::Hooks hooks;
    hooks.maySend = [this, sendBefore = call.sendBefore] { return this->maySend(sendBefore); };
    hooks.attribute = [](const HttpResponseHead &) { return ResponseAttribution::Own; };
    hooks.head = [this](const HttpResponseHead &head) { this->readHead(head); };
    hooks.body = [this](const QByteArray &bytes) { this->readBody(bytes); };
    hooks.complete = [this] { this->completeResponse(); };
    hooks.failed = [this](ExchangeFailure reason) { this->exchangeFailed(reason); };
    const QByteArray request =
            requestHeadText(call.method, targetOf(call), fieldsOf(call), call.body.size())
            + call.body;
    this->connection->exchange({this->requestId, request, call.method == "HEAD"}, std::move(hooks));
}

bool HttpExchange::maySend(std::optional<TimerService::SteadyTime> sendBefore)
{
    this->connectedTooLate = sendBefore && this->timers.now() >= *sendBefore;
    this->sent = !this->connectedTooLate;
    return this->sent;
}

void HttpExchange::readHead(const HttpResponseHead &head)
{
    this->response.httpStatus = head.status;
    this->bodyEndsAtClose = head.bodyEndsAtClose;
    this->contentType = fieldValue(head.fields, "Content-Type");
    const QByteArray markedRequestId = fieldValue(head.fields, "Lacewingmux-Request-Id");
    this->isMarked = !markedRequestId.isEmpty();
    this->mismatched = this->isMarked && markedRequestId != this->requestId;
    for (const HttpField &field : head.fields) {
        if (isForwardedToCaller(field.name))
            this->response.headers.push_back({field.name, field.value});
    }
}

void HttpExchange::readBody(const QByteArray &bytes)
{
    this->response.body += bytes;
    if (this->response.body.size() > this->maxResponseBytes) {
        this->abortWith(
                BackendFailure::ResponseTooLarge, Executed::Unknown,
                QStringLiteral("the response exceeds %1 bytes").arg(this->maxResponseBytes));
        return;
    }
    if (this->listener.chunk && this->isEventStream())
        this->listener.chunk(bytes);
}

bool HttpExchange::isEventStream() const
{
    return this->response.httpStatus == httpOk && !this->mismatched
           && (this->contentType.isEmpty()
               || this->contentType.toLower().startsWith("text/event-stream"));
}

bool HttpExchange::mayKeepConnection() const
{
    // The server may send a second copy of the answer late. It is told from the answer to the next
    // request by its id alone, and a refused call is tried again with the same id.
    return this->isIdempotent && this->isMarked && !this->mismatched
           && this->response.httpStatus < firstErrorStatus;
}

const char *HttpExchange::bodyFault() const
{
    if (this->bodyEndsAtClose)
        return unframedBodyFault(this->contentType, this->response.body);
    // Each event of a stream is examined where it is passed on.
    if (this->listener.chunk && this->isEventStream())
        return nullptr;
    return framedBodyFault(this->contentType, this->response.body, *this->connection);
}

void HttpExchange::completeResponse()
{
    const char *fault = this->mismatched ? nullptr : this->bodyFault();
    if (fault != nullptr) {
        this->abortWith(BackendFailure::ConnectionLost, Executed::Unknown,
                        QString::fromLatin1(fault));
        return;
    }
    if (this->mismatched) {
        this->response.failure = BackendFailure::MismatchedResponse;
        this->response.executed = Executed::Unknown;
        this->response.message = QStringLiteral("the answer is marked as another request's");
    }
    if (this->mayKeepConnection())
        this->connections.release(this->server, std::move(this->connection));
    this->finishSoon();
}

void HttpExchange::exchangeFailed(ExchangeFailure reason)
{
    if (this->sent) {
        this->abortWith(BackendFailure::ConnectionLost, Executed::Unknown,
                        QString::fromLatin1(describe(reason)));
        return;
    }
    BackendFailure failure = BackendFailure::NotSent;
    QString message = QStringLiteral("the connection was refused");
    if (this->connectedTooLate) {
        failure = BackendFailure::ConnectedTooLate;
        message = QStringLiteral("the connection was established too late");
    } else if (this->connection->connectResult() == ConnectResult::Silent) {
        failure = BackendFailure::ConnectTimedOut;
        message = QStringLiteral("the connection could not be established in time");
    }
    this->abortWith(failure, Executed::No, message);
}

void HttpExchange::timedOut()
{
    if (this->finishing)
        return;
    if (this->sent)
        this->abortWith(BackendFailure::TimedOut, Executed::Unknown,
                        QStringLiteral("no complete response in time"));
    else
        this->abortWith(BackendFailure::ConnectTimedOut, Executed::No,
                        QStringLiteral("the connection could not be established in time"));
}

void HttpExchange::abortWith(BackendFailure reason, Executed executed, const QString &message)
{
    this->response.failure = reason;
    this->response.executed = executed;
    this->response.message = message;
    this->connection->abort();
    this->finishSoon();
}

void HttpExchange::finishSoon()
{
    this->finishing = true;
    this->timeout.cancel();
    this->timers.post([this, alive = std::weak_ptr<char>(this->lifetimeToken)] {
        if (!alive.expired())
            this->finish();
    });
}

void HttpExchange::finish()
{
    if (this->response.failure != BackendFailure::None) {
        this->response.httpStatus = 0;
        this->response.headers.clear();
        this->response.body.clear();
    }
    const auto finished = std::move(this->listener.finished);
    const BackendResponse result = std::move(this->response);
    finished(result);
}

} // namespace lacewingmux

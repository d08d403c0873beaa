#include "lacewingmux_keyvalue/client/HttpCall.h"

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_keyvalue/client/SingleUseBody.h"

#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>

namespace lacewingmux {

namespace {

constexpr int firstHttpErrorStatus = 400;
// Far above a page of the platform's store, which has about 1 MB, or one value of 1 MiB.
constexpr qint64 maximumReplyBytes = qint64{16} * 1024 * 1024;

} // namespace

HttpCall::HttpCall(QNetworkAccessManager &manager, TimerService &timerService,
                   QNetworkRequest request, const QByteArray &content,
                   std::chrono::milliseconds timeout, Callback whenDone)
    : body(new SingleUseBody(content))
    , callback(std::move(whenDone))
{
    request.setHeader(QNetworkRequest::ContentLengthHeader, content.size());
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    this->reply = manager.post(request, this->body);
    this->body->setParent(this->reply);
    this->start(timerService, timeout);
}

HttpCall::HttpCall(QNetworkAccessManager &manager, TimerService &timerService,
                   const QNetworkRequest &request, HttpVerb verb, std::chrono::milliseconds timeout,
                   Callback whenDone)
    : reply(verb == HttpVerb::Get ? manager.get(request) : manager.deleteResource(request))
    , callback(std::move(whenDone))
{
    this->start(timerService, timeout);
}

void HttpCall::start(TimerService &timerService, std::chrono::milliseconds timeout)
{
    this->reply->setReadBufferSize(maximumReplyBytes);
    QObject::connect(this->reply, &QNetworkReply::readyRead, &this->context,
                     [this] { this->checkSize(); });
    QObject::connect(this->reply, &QNetworkReply::finished, &this->context,
                     [this] { this->finish(true); });
    this->timeoutTimer = timerService.after(timeout, [this] { this->finish(false); });
}

HttpCall::~HttpCall()
{
    QObject::disconnect(this->reply, nullptr, &this->context, nullptr);
    this->reply->abort();
    this->reply->deleteLater();
}

void HttpCall::checkSize()
{
    if (this->reply->bytesAvailable() >= maximumReplyBytes)
        this->finish(false);
}

void HttpCall::finish(bool answered)
{
    this->timeoutTimer.cancel();
    QObject::disconnect(this->reply, nullptr, &this->context, nullptr);
    const HttpCallResult ended = this->result(answered);
    const Callback done = std::move(this->callback);
    done(ended);
}

HttpCallResult HttpCall::result(bool answered) const
{
    HttpCallResult ended;
    ended.bodySent = this->body != nullptr && !this->body->isUntouched();
    if (!answered)
        return ended;
    const int status = this->reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const bool whole = this->reply->error() == QNetworkReply::NoError;
    if (whole || status >= firstHttpErrorStatus)
        ended.status = status;
    if (ended.status != 0)
        ended.body = QJsonDocument::fromJson(this->reply->readAll()).object();
    return ended;
}

} // namespace lacewingmux

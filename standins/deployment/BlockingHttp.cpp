#include "deployment/BlockingHttp.h"

#include "deployment/EventLoopWait.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonDocument>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <chrono>

namespace lacewingmux::standin {

namespace {

constexpr std::chrono::seconds requestBound{30};

HttpAnswer waitFor(QNetworkReply &reply)
{
    if (!waitUntil([&reply] { return reply.isFinished(); }, requestBound))
        return {};
    return {reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt(), reply.readAll()};
}

} // namespace

QUrl loopbackUrl(std::uint16_t port, const QString &path)
{
    QUrl url;
    url.setScheme(QStringLiteral("http"));
    url.setHost(QStringLiteral("127.0.0.1"));
    url.setPort(port);
    url.setPath(path);
    return url;
}

HttpAnswer getAndWait(const QUrl &url)
{
    QNetworkAccessManager manager;
    const std::unique_ptr<QNetworkReply> reply(manager.get(QNetworkRequest(url)));
    return waitFor(*reply);
}

HttpAnswer postAndWait(const QUrl &url, const QJsonObject &body)
{
    QNetworkAccessManager manager;
    QNetworkRequest request(url);
    request.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray("application/json"));
    const std::unique_ptr<QNetworkReply> reply(
            manager.post(request, QJsonDocument(body).toJson(QJsonDocument::Compact)));
    return waitFor(*reply);
}

QJsonObject getJson(const QUrl &url)
{
    const HttpAnswer answer = getAndWait(url);
    if (answer.status != 200)
        throw LacewingmuxError(
                ErrorKind::InternalError,
                QStringLiteral("GET %1 gave %2").arg(url.toString()).arg(answer.status));
    return QJsonDocument::fromJson(answer.body).object();
}

void postJson(const QUrl &url, const QJsonObject &body)
{
    const HttpAnswer answer = postAndWait(url, body);
    if (answer.status < 200 || answer.status > 299)
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("POST %1 gave %2: %3")
                                       .arg(url.toString())
                                       .arg(answer.status)
                                       .arg(QString::fromUtf8(answer.body)));
}

} // namespace lacewingmux::standin

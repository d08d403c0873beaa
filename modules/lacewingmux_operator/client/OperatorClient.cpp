#include "lacewingmux_operator/client/OperatorClient.h"

#include "lacewingmux_core/errors/ErrorTable.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <memory>

namespace lacewingmux {

namespace {

constexpr int firstErrorStatus = 400;

LacewingmuxError unreachable(const QUrl &endpoint, const QString &reason)
{
    return {ErrorKind::OwnerUnavailable,
            QStringLiteral("no answer from %1: %2").arg(endpoint.toString(), reason)};
}

/** Turns the body of a refusal into the error that the daemon meant. */
LacewingmuxError refusalIn(const QJsonObject &answer, int status)
{
    const QJsonObject error = answer.value(QLatin1String("error")).toObject();
    const auto kind = errorKindFromName(error.value(QLatin1String("kind")).toString());
    const QString message = error.value(QLatin1String("message")).toString();
    return {kind.value_or(ErrorKind::InternalError),
            message.isEmpty() ? QStringLiteral("the daemon answered with status %1").arg(status)
                              : message};
}

} // namespace

OperatorClient::OperatorClient(std::vector<QUrl> daemonEndpoints, QByteArray operatorToken)
    : endpoints(std::move(daemonEndpoints))
    , token(std::move(operatorToken))
{
    this->manager.setProxy(QNetworkProxy::NoProxy);
}

QJsonObject OperatorClient::get(const QString &path)
{
    return this->callAny(Method::Get, path);
}

QJsonObject OperatorClient::post(const QString &path)
{
    return this->callAny(Method::Post, path);
}

std::vector<QJsonObject> OperatorClient::getFromAll(const QString &path)
{
    std::vector<QJsonObject> answers;
    for (const QUrl &endpoint : this->endpoints) {
        try {
            answers.push_back(this->call(Method::Get, endpoint, path));
        } catch (const LacewingmuxError &error) {
            if (error.kind() != ErrorKind::OwnerUnavailable)
                throw;
        }
    }
    return answers;
}

QJsonObject OperatorClient::callAny(Method method, const QString &path)
{
    LacewingmuxError last(ErrorKind::MalformedRequest,
                          QStringLiteral("--operator is missing: the endpoint of a daemon"));
    for (const QUrl &endpoint : this->endpoints) {
        try {
            return this->call(method, endpoint, path);
        } catch (const LacewingmuxError &error) {
            if (error.kind() != ErrorKind::OwnerUnavailable)
                throw;
            last = error;
        }
    }
    throw last;
}

QJsonObject OperatorClient::call(Method method, const QUrl &endpoint, const QString &path)
{
    QUrl url = endpoint;
    url.setPath(path);
    QNetworkRequest request(url);
    request.setTransferTimeout(static_cast<int>(callTimeout.count()));
    request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
    if (!this->token.isEmpty())
        request.setRawHeader("Authorization", "Bearer " + this->token);
    const std::unique_ptr<QNetworkReply> reply(
            method == Method::Get ? this->manager.get(request) : this->manager.post(request, "{}"));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    if (!reply->isFinished())
        loop.exec();
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == 0)
        throw unreachable(endpoint, reply->errorString());
    const QJsonObject answer = QJsonDocument::fromJson(reply->readAll()).object();
    if (status >= firstErrorStatus)
        throw refusalIn(answer, status);
    return answer;
}

} // namespace lacewingmux

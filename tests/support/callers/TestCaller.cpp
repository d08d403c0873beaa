#include "callers/TestCaller.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <optional>

namespace {

void fillOutcome(CallerAttempt &attempt, QNetworkReply &reply)
{
    attempt.ended = std::chrono::steady_clock::now();
    attempt.body = reply.readAll();
    attempt.httpStatus = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (reply.error() == QNetworkReply::NoError && attempt.httpStatus / 100 == 2) {
        attempt.outcome = AttemptOutcome::Answered;
        return;
    }
    const QJsonObject error = QJsonDocument::fromJson(attempt.body)
                                      .object()
                                      .value(QStringLiteral("error"))
                                      .toObject();
    if (error.isEmpty())
        return;
    attempt.outcome = AttemptOutcome::Refused;
    attempt.errorKind = error.value(QStringLiteral("kind")).toString();
    attempt.executed = error.value(QStringLiteral("executed")).toString();
    attempt.retryAfter =
            std::chrono::milliseconds(error.value(QStringLiteral("retryAfterMs")).toInteger());
}

} // namespace

TestCaller::TestCaller(QString callerTeam, QByteArray callerKey)
    : team(std::move(callerTeam))
    , key(std::move(callerKey))
    , alive(std::make_shared<bool>(true))
{ }

TestCaller::~TestCaller()
{
    *this->alive = false;
}

void TestCaller::send(const CallerRequestSpec &spec, Finished finished)
{
    CallerAttempt attempt;
    attempt.team = this->team;
    attempt.program = spec.program;
    attempt.callNumber = spec.callNumber;
    attempt.marker = spec.marker;
    attempt.idempotent = spec.idempotent;
    attempt.sent = std::chrono::steady_clock::now();

    QUrl url = spec.front;
    url.setPath(spec.path);
    QNetworkRequest request(url);
    request.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray("application/json"));
    request.setTransferTimeout(static_cast<int>(spec.timeout.count()));
    if (!this->key.isEmpty())
        request.setRawHeader("Authorization", "Bearer " + this->key);
    for (const RequestHeader &header : spec.headers)
        request.setRawHeader(header.name, header.value);

    auto *manager = new QNetworkAccessManager;
    QNetworkReply *reply = manager->sendCustomRequest(request, spec.method, spec.body);
    ++this->open;
    QObject::connect(
            reply, &QNetworkReply::finished, reply,
            [this, guard = this->alive, attempt, reply, manager, finished = std::move(finished)] {
                manager->deleteLater();
                if (*guard)
                    this->record(attempt, *reply, finished);
            });
}

CallerAttempt TestCaller::sendAndWait(const CallerRequestSpec &spec)
{
    QEventLoop loop;
    std::optional<CallerAttempt> result;
    this->send(spec, [&loop, &result](const CallerAttempt &attempt) {
        result = attempt;
        loop.quit();
    });
    while (!result)
        loop.exec();
    return *result;
}

void TestCaller::record(CallerAttempt attempt, QNetworkReply &reply, const Finished &finished)
{
    --this->open;
    fillOutcome(attempt, reply);
    this->recorded.push_back(attempt);
    if (finished)
        finished(attempt);
}

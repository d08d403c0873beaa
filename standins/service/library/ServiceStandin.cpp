#include "service/library/ServiceStandin.h"

#include <QDateTime>
#include <QTimer>

#include <algorithm>

namespace lacewingmux::standin {

ServiceStandin::ServiceStandin(std::function<void()> onCrash)
    : crashAction(std::move(onCrash))
    , server([this](const StandinRequest &request,
                    const std::shared_ptr<StandinExchange> &exchange) {
        this->handle(request, exchange);
    })
{ }

std::uint16_t ServiceStandin::start(std::uint16_t port)
{
    return this->server.start(port);
}

void ServiceStandin::crash()
{
    this->server.crash();
}

void ServiceStandin::setFaults(const ServiceFaults &newFaults)
{
    this->faults = newFaults;
}

int ServiceStandin::runs(const QString &requestId) const
{
    return static_cast<int>(
            std::count_if(this->recordedRuns.begin(), this->recordedRuns.end(),
                          [&requestId](const Run &run) { return run.requestId == requestId; }));
}

int ServiceStandin::totalRuns() const
{
    return static_cast<int>(this->recordedRuns.size());
}

void ServiceStandin::handle(const StandinRequest &request,
                            const std::shared_ptr<StandinExchange> &exchange)
{
    if (request.path == QStringLiteral("/healthz"))
        exchange->answer(200, QJsonObject());
    else if (request.path.startsWith(QStringLiteral("/v1/standin/")))
        this->handleControl(request, *exchange);
    else
        this->run(request, exchange);
}

void ServiceStandin::handleControl(const StandinRequest &request, StandinExchange &exchange)
{
    if (request.path == QStringLiteral("/v1/standin/runs")) {
        exchange.answer(200, QJsonObject{{QStringLiteral("runs"), this->runsToJson()}});
        return;
    }
    if (request.path != QStringLiteral("/v1/standin/faults") || request.method != "POST") {
        exchange.answer(404, QJsonObject());
        return;
    }
    const QJsonObject json = request.json();
    ServiceFaults parsed;
    parsed.hang = json.value(QStringLiteral("hang")).toBool();
    parsed.loseAnswer = json.value(QStringLiteral("loseAnswer")).toBool();
    parsed.duplicateAnswer = json.value(QStringLiteral("duplicateAnswer")).toBool();
    parsed.delay = std::chrono::milliseconds(json.value(QStringLiteral("delayMs")).toInt());
    parsed.crashOnText = json.value(QStringLiteral("crashOnText")).toString();
    this->faults = parsed;
    exchange.answer(200, QJsonObject());
}

void ServiceStandin::run(const StandinRequest &request,
                         const std::shared_ptr<StandinExchange> &exchange)
{
    const QString id = request.requestId();
    this->recordedRuns.push_back(
            {id, request.method, request.path, request.body, QDateTime::currentMSecsSinceEpoch()});
    if (!this->faults.crashOnText.isEmpty()
        && request.body.contains(this->faults.crashOnText.toUtf8())) {
        this->crash();
        if (this->crashAction)
            this->crashAction();
        return;
    }
    if (this->faults.hang)
        return;
    if (this->faults.loseAnswer) {
        exchange->abort();
        return;
    }
    const int count = this->runs(id);
    QTimer::singleShot(this->faults.delay, &this->server,
                       [this, id, count, body = request.body, exchange] {
                           this->answer(id, count, body, *exchange);
                       });
}

void ServiceStandin::answer(const QString &requestId, int count, const QByteArray &requestBody,
                            StandinExchange &exchange) const
{
    const QJsonObject body{{QStringLiteral("requestId"), requestId},
                           {QStringLiteral("runs"), count},
                           {QStringLiteral("echo"), QString::fromUtf8(requestBody)}};
    exchange.addHeader("Lacewingmux-Request-Id", requestId.toUtf8());
    exchange.answer(200, body);
    if (this->faults.duplicateAnswer)
        exchange.answer(200, body);
}

QJsonArray ServiceStandin::runsToJson() const
{
    QJsonArray list;
    for (const Run &run : this->recordedRuns) {
        list.append(QJsonObject{{QStringLiteral("requestId"), run.requestId},
                                {QStringLiteral("method"), QString::fromUtf8(run.method)},
                                {QStringLiteral("path"), run.path},
                                {QStringLiteral("body"), QString::fromUtf8(run.body)},
                                {QStringLiteral("startedMs"), run.startedMilliseconds}});
    }
    return list;
}

} // namespace lacewingmux::standin

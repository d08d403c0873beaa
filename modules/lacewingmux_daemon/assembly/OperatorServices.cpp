#include "lacewingmux_daemon/assembly/OperatorServices.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/threads/ServiceThread.h"
#include "lacewingmux_daemon/assembly/ControlServices.h"
#include "lacewingmux_daemon/assembly/TrafficServices.h"
#include "lacewingmux_daemon/settings/DaemonSettings.h"
#include "lacewingmux_http/front/OperatorReply.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"

#include <QFile>
#include <QHostAddress>
#include <QJsonArray>
#include <QJsonObject>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds ownerTimeout{10000};

QByteArray readToken(const QString &path)
{
    if (path.isEmpty())
        return {};
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly))
        throw LacewingmuxError(
                ErrorKind::ConfigurationInvalid,
                QStringLiteral("operator token %1: %2").arg(path, file.errorString()));
    return file.readAll().trimmed();
}

QJsonObject trafficObject(const TrafficStatus &status)
{
    return {{QStringLiteral("ready"), status.ready},
            {QStringLiteral("settled"), status.settled},
            {QStringLiteral("drained"), status.drained},
            {QStringLiteral("serving"), status.serving},
            {QStringLiteral("epoch"), static_cast<qint64>(status.epoch)},
            {QStringLiteral("runningCalls"), static_cast<qint64>(status.runningCalls)},
            {QStringLiteral("ownerRequests"), static_cast<qint64>(status.ownerRequests)},
            {QStringLiteral("forwardedRequests"), static_cast<qint64>(status.forwardedRequests)},
            {QStringLiteral("callerConnections"), status.callerConnections},
            {QStringLiteral("programs"), static_cast<qint64>(status.programs)},
            {QStringLiteral("peers"), static_cast<qint64>(status.peers)}};
}

} // namespace

OperatorServices::OperatorServices(const DaemonSettings &settings,
                                   const OperatorEnvironment &operatorEnvironment)
    : environment(operatorEnvironment)
    , endpoints(readToken(settings.operatorTokenFile))
    , server(environment.timers, environment.metrics, ServerLimits(),
             [this](const CallerRequest &request, const std::shared_ptr<CallerAnswer> &answer) {
                 this->endpoints.handle(request, answer);
             })
{
    this->endpoints.add("GET", "/v1/operator/status",
                        [this](const OperatorRequest &, const OperatorReply &reply) {
                            this->replyWithStatus(reply);
                        });
    this->endpoints.add("GET", "/v1/operator/burn",
                        [this](const OperatorRequest &, const OperatorReply &reply) {
                            this->replyWithBurn(reply);
                        });
    this->endpoints.add("GET", "/v1/operator/programs/*",
                        [this](const OperatorRequest &request, const OperatorReply &reply) {
                            this->askOwner(OwnerOperation::FetchHistory, request, reply);
                        });
    this->endpoints.add("POST", "/v1/operator/programs/*/end",
                        [this](const OperatorRequest &request, const OperatorReply &reply) {
                            this->askOwner(OwnerOperation::EndProgram, request, reply);
                        });
    this->server.listen(QHostAddress(settings.operators.address), settings.operators.port);
}

void OperatorServices::replyWithStatus(const OperatorReply &reply)
{
    const QJsonObject control = this->environment.control.status();
    this->environment.traffic.post(
            [queue = &this->environment.controlQueue, control, reply](TrafficServices &services) {
                QJsonObject result = control;
                result.insert(QStringLiteral("traffic"), trafficObject(services.status()));
                queue->post([result, reply] { reply.succeed(result); });
            });
}

void OperatorServices::replyWithBurn(const OperatorReply &reply)
{
    this->environment.traffic.post(
            [queue = &this->environment.controlQueue, reply](TrafficServices &services) {
                const QJsonObject result{{QStringLiteral("counts"), services.burnCounts()}};
                queue->post([result, reply] { reply.succeed(result); });
            });
}

void OperatorServices::askOwner(OwnerOperation operation, const OperatorRequest &request,
                                const OperatorReply &reply)
{
    OwnerRequest question;
    question.operation = operation;
    question.programId = request.arguments.front();
    question.timeout = ownerTimeout;
    ThreadQueue *queue = &this->environment.controlQueue;
    OperatorReply posted;
    posted.succeed = [queue, reply](const QJsonObject &answer) {
        queue->post([reply, answer] { reply.succeed(answer); });
    };
    posted.fail = [queue, reply](const LacewingmuxError &error) {
        queue->post([reply, error] { reply.fail(error); });
    };
    this->environment.traffic.post(
            [question, posted](TrafficServices &services) { services.askOwner(question, posted); });
}

} // namespace lacewingmux

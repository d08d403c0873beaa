#include "lacewingmux_backend/clients/EngineClient.h"

#include "lacewingmux_backend/clients/EngineRun.h"
#include "lacewingmux_backend/clients/HttpExchange.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QJsonDocument>

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds commandTimeout{3000}; ///< of orders and cancellations
constexpr std::chrono::milliseconds transferTimeout{10000};
constexpr std::int64_t maxControlResponseBytes = std::int64_t{64} * 1024 * 1024;
constexpr int httpOk = 200;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;

QString orderName(EngineOrderKind kind)
{
    switch (kind) {
    case EngineOrderKind::LoadModel:
        return QStringLiteral("loadModel");
    case EngineOrderKind::LoadAdapter:
        return QStringLiteral("loadAdapter");
    case EngineOrderKind::LoadVersion:
        return QStringLiteral("loadVersion");
    case EngineOrderKind::ChangeRole:
        return QStringLiteral("changeRole");
    case EngineOrderKind::DropCache:
        return QStringLiteral("dropCache");
    case EngineOrderKind::EndProgram:
        return QStringLiteral("endProgram");
    }
    return {};
}

QByteArray orderBody(const EngineOrder &order)
{
    const bool isAboutProgram =
            order.kind == EngineOrderKind::DropCache || order.kind == EngineOrderKind::EndProgram;
    const QString field = isAboutProgram ? QStringLiteral("program") : QStringLiteral("name");
    const QJsonObject json{{QStringLiteral("order"), orderName(order.kind)},
                           {field, order.subject},
                           {QStringLiteral("fencing"), static_cast<qint64>(order.fencingToken)}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

OrderOutcome outcomeOf(const BackendResponse &response)
{
    if (!response.completed())
        return OrderOutcome::Unconfirmed;
    switch (response.httpStatus) {
    case httpOk:
        return OrderOutcome::Done;
    case httpConflict:
        return OrderOutcome::Fenced;
    case httpNotFound:
        return OrderOutcome::Unsupported;
    default:
        return OrderOutcome::Unconfirmed;
    }
}

std::optional<EngineLoad> parseLoad(const BackendResponse &response)
{
    if (!response.completed() || response.httpStatus != httpOk)
        return std::nullopt;
    const QJsonObject json = QJsonDocument::fromJson(response.body).object();
    EngineLoad load;
    load.running = json.value(QStringLiteral("running")).toInt();
    load.waiting = json.value(QStringLiteral("waiting")).toInt();
    load.cachedTokens = json.value(QStringLiteral("cachedTokens")).toInteger();
    load.cacheCapacityTokens = json.value(QStringLiteral("cacheCapacityTokens")).toInteger();
    load.instance = json.value(QStringLiteral("instance")).toString();
    return load;
}

QByteArray programBody(const QString &program)
{
    return QJsonDocument(QJsonObject{{QStringLiteral("program"), program}})
            .toJson(QJsonDocument::Compact);
}

} // namespace

EngineClient::EngineClient(ConnectionPool &connectionPool, TimerService &timerService)
    : connections(connectionPool)
    , timers(timerService)
{ }

EngineClient::~EngineClient() = default;

std::unique_ptr<BackendRun> EngineClient::start(const BackendCall &call,
                                                BackendRunListener listener)
{
    return std::make_unique<EngineRun>(this->connections, this->timers, call, std::move(listener));
}

void EngineClient::cancel(const QUrl &server, const QString &requestId)
{
    const QByteArray path = "/v1/requests/" + requestId.toUtf8().toPercentEncoding() + "/cancel";
    this->sendControlRequest({server, "POST", path, "{}", commandTimeout},
                             [](const BackendResponse &) {});
}

void EngineClient::issueOrder(const QUrl &server, const EngineOrder &order,
                              std::function<void(OrderOutcome)> callback)
{
    this->sendControlRequest({server, "POST", "/v1/orders", orderBody(order), commandTimeout},
                             [callback = std::move(callback)](const BackendResponse &response) {
                                 callback(outcomeOf(response));
                             });
}

void EngineClient::readLoad(const QUrl &server, std::chrono::milliseconds timeout,
                            std::function<void(std::optional<EngineLoad>)> callback)
{
    this->sendControlRequest({server, "GET", "/v1/load", {}, timeout},
                             [callback = std::move(callback)](const BackendResponse &response) {
                                 callback(parseLoad(response));
                             });
}

void EngineClient::exportCache(const QUrl &server, const QString &program,
                               std::function<void(std::optional<QByteArray>)> callback)
{
    this->sendControlRequest(
            {server, "POST", "/v1/cache/export", programBody(program), transferTimeout},
            [callback = std::move(callback)](const BackendResponse &response) {
                const bool done = response.completed() && response.httpStatus == httpOk;
                callback(done ? std::optional(response.body) : std::nullopt);
            });
}

void EngineClient::importCache(const QUrl &server, const QByteArray &exported,
                               std::function<void(bool)> callback)
{
    this->sendControlRequest({server, "POST", "/v1/cache/import", exported, transferTimeout},
                             [callback = std::move(callback)](const BackendResponse &response) {
                                 callback(response.completed() && response.httpStatus == httpOk);
                             });
}

void EngineClient::sendControlRequest(const ControlRequest &controlRequest,
                                      std::function<void(const BackendResponse &)> callback)
{
    BackendCall call;
    call.server = controlRequest.server;
    call.method = controlRequest.method;
    call.path = controlRequest.path;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = controlRequest.body;
    call.timeout = controlRequest.timeout;
    call.maxResponseBytes = maxControlResponseBytes;

    const std::uint64_t number = ++this->lastExchangeNumber;
    call.requestId = QStringLiteral("control/%1").arg(number);
    BackendRunListener listener;
    listener.finished = [this, number,
                         callback = std::move(callback)](const BackendResponse &response) {
        // Removed from the map first, because the callback may add further exchanges. The exchange
        // is destroyed after the callback returns.
        const auto finishedExchange = this->controlExchanges.extract(number);
        callback(response);
    };
    this->controlExchanges.emplace(number,
                                   std::make_unique<HttpExchange>(this->connections, this->timers,
                                                                  call, std::move(listener)));
}

} // namespace lacewingmux

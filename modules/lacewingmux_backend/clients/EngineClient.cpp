#include "lacewingmux_backend/clients/EngineClient.h"

#include "lacewingmux_backend/clients/EngineRun.h"
#include "lacewingmux_backend/clients/HttpExchange.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QJsonDocument>

#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds orderTimeout{3000};
constexpr std::chrono::milliseconds transferTimeout{10000};
constexpr std::int64_t maxTransferBytes = std::int64_t{64} * 1024 * 1024;
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
    const bool isOfProgram =
            order.kind == EngineOrderKind::DropCache || order.kind == EngineOrderKind::EndProgram;
    const QString field = isOfProgram ? QStringLiteral("program") : QStringLiteral("name");
    const QJsonObject json{{QStringLiteral("order"), orderName(order.kind)},
                           {field, order.subject},
                           {QStringLiteral("fencing"), static_cast<qint64>(order.fencing)}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

OrderOutcome outcomeOf(const BackendAnswer &answer)
{
    if (!answer.completed())
        return OrderOutcome::Unknown;
    switch (answer.httpStatus) {
    case httpOk:
        return OrderOutcome::Done;
    case httpConflict:
        return OrderOutcome::Fenced;
    case httpNotFound:
        return OrderOutcome::Unsupported;
    default:
        return OrderOutcome::Unknown;
    }
}

std::optional<EngineLoad> loadOf(const BackendAnswer &answer)
{
    if (!answer.completed() || answer.httpStatus != httpOk)
        return std::nullopt;
    const QJsonObject json = QJsonDocument::fromJson(answer.body).object();
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
    this->run({server, "POST", path, "{}", orderTimeout}, [](const BackendAnswer &) {});
}

void EngineClient::order(const QUrl &server, const EngineOrder &order,
                         std::function<void(OrderOutcome)> callback)
{
    this->run({server, "POST", "/v1/orders", orderBody(order), orderTimeout},
              [callback = std::move(callback)](const BackendAnswer &answer) {
                  callback(outcomeOf(answer));
              });
}

void EngineClient::load(const QUrl &server, std::chrono::milliseconds timeout,
                        std::function<void(std::optional<EngineLoad>)> callback)
{
    this->run({server, "GET", "/v1/load", {}, timeout},
              [callback = std::move(callback)](const BackendAnswer &answer) {
                  callback(loadOf(answer));
              });
}

void EngineClient::exportCache(const QUrl &server, const QString &program,
                               std::function<void(std::optional<QByteArray>)> callback)
{
    this->run({server, "POST", "/v1/cache/export", programBody(program), transferTimeout},
              [callback = std::move(callback)](const BackendAnswer &answer) {
                  const bool done = answer.completed() && answer.httpStatus == httpOk;
                  callback(done ? std::optional(answer.body) : std::nullopt);
              });
}

void EngineClient::importCache(const QUrl &server, const QByteArray &exported,
                               std::function<void(bool)> callback)
{
    this->run({server, "POST", "/v1/cache/import", exported, transferTimeout},
              [callback = std::move(callback)](const BackendAnswer &answer) {
                  callback(answer.completed() && answer.httpStatus == httpOk);
              });
}

void EngineClient::run(const SmallCall &small, std::function<void(const BackendAnswer &)> callback)
{
    BackendCall call;
    call.server = small.server;
    call.method = small.method;
    call.path = small.path;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = small.body;
    call.timeout = small.timeout;
    call.maxAnswerBytes = maxTransferBytes;

    const std::uint64_t number = ++this->lastRun;
    BackendRunListener listener;
    listener.finished = [this, number,
                         callback = std::move(callback)](const BackendAnswer &answer) {
        // Kept until the callback has returned, which may start further calls.
        const auto finishedRun = this->runs.extract(number);
        callback(answer);
    };
    this->runs.emplace(number, std::make_unique<HttpExchange>(this->connections, this->timers, call,
                                                              std::move(listener)));
}

} // namespace lacewingmux

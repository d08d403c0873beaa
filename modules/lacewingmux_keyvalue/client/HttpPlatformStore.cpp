#include "lacewingmux_keyvalue/client/HttpPlatformStore.h"

#include "lacewingmux_keyvalue/client/HttpWatch.h"
#include "lacewingmux_keyvalue/etcd/EtcdJson.h"
#include "lacewingmux_keyvalue/etcd/EtcdPaths.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkProxy>

namespace lacewingmux {

namespace {

constexpr int okStatus = 200;
constexpr int requestTimeoutStatus = 408;
constexpr int firstServerErrorStatus = 500;

std::optional<std::vector<StoreRecord>> recordsOf(const HttpCallResult &result)
{
    if (result.status != okStatus || !result.body.contains(QLatin1String("header")))
        return std::nullopt;
    std::vector<StoreRecord> records;
    for (const QJsonValue entry : result.body.value(QLatin1String("kvs")).toArray())
        records.push_back(EtcdJson::toRecord(entry.toObject()));
    return records;
}

QJsonObject swapRequest(const QByteArray &key, std::int64_t expectedModRevision,
                        const QByteArray &value, std::int64_t leaseId)
{
    const QJsonObject compare{
            {QStringLiteral("key"), EtcdJson::fromBytes(key)},
            {QStringLiteral("target"), QStringLiteral("MOD")},
            {QStringLiteral("result"), QStringLiteral("EQUAL")},
            {QStringLiteral("mod_revision"), EtcdJson::fromInteger(expectedModRevision)}};
    const QJsonObject put{{QStringLiteral("key"), EtcdJson::fromBytes(key)},
                          {QStringLiteral("value"), EtcdJson::fromBytes(value)},
                          {QStringLiteral("lease"), EtcdJson::fromInteger(leaseId)}};
    const QJsonObject whole = EtcdJson::fromRange(KeyRange::single(key));
    QJsonObject keysOnly = whole;
    keysOnly.insert(QStringLiteral("keys_only"), true);
    return {{QStringLiteral("compare"), QJsonArray{compare}},
            {QStringLiteral("success"),
             QJsonArray{QJsonObject{{QStringLiteral("request_put"), put}},
                        QJsonObject{{QStringLiteral("request_range"), keysOnly}}}},
            {QStringLiteral("failure"),
             QJsonArray{QJsonObject{{QStringLiteral("request_range"), whole}}}}};
}

/** Returns the record in the answer of the transaction's range, if the key was there. */
std::optional<StoreRecord> recordInAnswer(const QJsonObject &answer)
{
    for (const QJsonValue entry : answer.value(QLatin1String("responses")).toArray()) {
        const auto range =
                EtcdJson::member(entry.toObject(), "response_range", "responseRange").toObject();
        const QJsonArray records = range.value(QLatin1String("kvs")).toArray();
        if (!records.isEmpty())
            return EtcdJson::toRecord(records.first().toObject());
    }
    return std::nullopt;
}

CompareAndSwapResult swapResult(const HttpCallResult &result, const QByteArray &value)
{
    if (result.status == 0 && !result.bodySent)
        return {CompareAndSwapOutcome::NotSent, std::nullopt};
    const bool refused = result.status >= 400 && result.status < firstServerErrorStatus
                         && result.status != requestTimeoutStatus;
    if (refused)
        return {CompareAndSwapOutcome::NotSent, std::nullopt};
    if (result.status != okStatus || !result.body.contains(QLatin1String("header")))
        return {CompareAndSwapOutcome::Unknown, std::nullopt};
    std::optional<StoreRecord> current = recordInAnswer(result.body);
    if (!result.body.value(QLatin1String("succeeded")).toBool())
        return {CompareAndSwapOutcome::Conflict, current};
    if (current)
        current->value = value;
    return {CompareAndSwapOutcome::Applied, current};
}

} // namespace

HttpPlatformStore::HttpPlatformStore(TimerService &timerService, MetricsRecorder &metricsRecorder,
                                     PlatformStoreSettings storeSettings)
    : access(std::make_shared<StoreAccess>(timerService, metricsRecorder, std::move(storeSettings)))
    , alive(std::make_shared<bool>(true))
{
    this->manager.setProxy(QNetworkProxy::NoProxy);
}

HttpPlatformStore::~HttpPlatformStore() = default;

void HttpPlatformStore::readPrefix(const QByteArray &prefix, ReadCallback callback)
{
    this->readRange(EtcdJson::fromRange(KeyRange::withPrefix(prefix)), std::move(callback));
}

void HttpPlatformStore::read(const QByteArray &key, ReadCallback callback)
{
    this->readRange(EtcdJson::fromRange(KeyRange::single(key)), std::move(callback));
}

void HttpPlatformStore::readRevisions(const QByteArray &prefix, ReadCallback callback)
{
    QJsonObject request = EtcdJson::fromRange(KeyRange::withPrefix(prefix));
    request.insert(QStringLiteral("keys_only"), true);
    this->readRange(request, std::move(callback));
}

void HttpPlatformStore::readRange(const QJsonObject &request, ReadCallback callback)
{
    this->post(CallPriority::Ordinary, EtcdPaths::range, request,
               [callback = std::move(callback)](const HttpCallResult &result) {
                   callback(recordsOf(result));
               });
}

void HttpPlatformStore::compareAndSwap(const QByteArray &key, std::int64_t expectedModRevision,
                                       const QByteArray &value, CompareAndSwapCallback callback,
                                       std::int64_t leaseId)
{
    this->post(CallPriority::Urgent, EtcdPaths::transaction,
               swapRequest(key, expectedModRevision, value, leaseId),
               [value, callback = std::move(callback)](const HttpCallResult &result) {
                   callback(swapResult(result, value));
               });
}

void HttpPlatformStore::grantLease(std::chrono::seconds timeToLive,
                                   std::function<void(std::optional<std::int64_t>)> callback)
{
    this->post(CallPriority::Urgent, EtcdPaths::leaseGrant,
               {{QStringLiteral("TTL"), EtcdJson::fromInteger(timeToLive.count())}},
               [callback = std::move(callback)](const HttpCallResult &result) {
                   const std::int64_t leaseId =
                           EtcdJson::toInteger(result.body.value(QLatin1String("ID")));
                   if (result.status == okStatus && leaseId != 0)
                       callback(leaseId);
                   else
                       callback(std::nullopt);
               });
}

void HttpPlatformStore::keepAlive(std::int64_t leaseId, std::function<void(bool)> callback)
{
    this->post(CallPriority::Urgent, EtcdPaths::leaseKeepAlive,
               {{QStringLiteral("ID"), EtcdJson::fromInteger(leaseId)}},
               [callback = std::move(callback)](const HttpCallResult &result) {
                   const auto answer = result.body.value(QLatin1String("result")).toObject();
                   const auto timeToLive = EtcdJson::toInteger(answer.value(QLatin1String("TTL")));
                   callback(result.status == okStatus && timeToLive > 0);
               });
}

std::unique_ptr<PlatformStore::Watch> HttpPlatformStore::watchPrefix(const QByteArray &prefix,
                                                                     std::int64_t afterRevision,
                                                                     WatchCallback callback)
{
    return std::make_unique<HttpWatch>(this->access, prefix, afterRevision, std::move(callback));
}

void HttpPlatformStore::post(CallPriority priority, const char *path, const QJsonObject &body,
                             HttpCall::Callback callback)
{
    this->start(std::make_shared<Attempt>(Attempt{
            priority, path, body, this->access->settings().endpoints.size(), std::move(callback)}));
}

void HttpPlatformStore::start(const std::shared_ptr<Attempt> &attempt)
{
    if (!this->access->takeCall(attempt->priority, attempt->path)) {
        this->access->timers().post([attempt, guard = std::weak_ptr<bool>(this->alive)] {
            if (!guard.expired())
                attempt->callback({});
        });
        return;
    }
    const std::uint64_t number = this->nextCall++;
    const std::size_t endpoint = this->access->endpoint();
    this->calls[number] = std::make_unique<HttpCall>(
            this->manager, this->access->timers(), this->access->request(attempt->path),
            QJsonDocument(attempt->body).toJson(QJsonDocument::Compact),
            this->access->settings().callTimeout,
            [this, number, attempt, endpoint](const HttpCallResult &result) {
                const auto ended = this->calls.extract(number);
                this->finish(attempt, endpoint, result);
            });
}

void HttpPlatformStore::finish(const std::shared_ptr<Attempt> &attempt, std::size_t endpoint,
                               const HttpCallResult &result)
{
    if (result.status == 0 || result.status >= firstServerErrorStatus)
        this->access->reportFailure(endpoint);
    const bool certainlyNotSent = result.status == 0 && !result.bodySent;
    if (certainlyNotSent && --attempt->endpointsLeft > 0) {
        this->start(attempt);
        return;
    }
    attempt->callback(result);
}

} // namespace lacewingmux

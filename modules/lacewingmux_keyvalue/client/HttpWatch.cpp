#include "lacewingmux_keyvalue/client/HttpWatch.h"

#include "lacewingmux_keyvalue/client/StoreAccess.h"
#include "lacewingmux_keyvalue/etcd/EtcdJson.h"
#include "lacewingmux_keyvalue/etcd/EtcdPaths.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QNetworkProxy>
#include <QNetworkReply>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds firstRetryPause{200};
constexpr std::chrono::milliseconds longestRetryPause{4000};

} // namespace

HttpWatch::HttpWatch(std::shared_ptr<StoreAccess> storeAccess, const QByteArray &prefix,
                     std::int64_t afterRevision, PlatformStore::WatchCallback watchCallback)
    : access(std::move(storeAccess))
    , keys(KeyRange::withPrefix(prefix))
    , seenRevision(afterRevision)
    , callback(std::move(watchCallback))
    , backoff(firstRetryPause, longestRetryPause)
    , alive(std::make_shared<bool>(true))
{
    this->manager->setProxy(QNetworkProxy::NoProxy);
    this->retryTimer =
            this->access->timers().after(std::chrono::milliseconds(0), [this] { this->open(); });
}

HttpWatch::~HttpWatch()
{
    this->close();
    // The watch may end within a signal of its reply, which the manager would delete at once.
    this->manager.release()->deleteLater();
}

void HttpWatch::open()
{
    this->close();
    if (!this->access->takeCall(CallPriority::Ordinary, EtcdPaths::watch)) {
        this->reopenLater();
        return;
    }
    this->endpoint = this->access->endpoint();
    this->reply = this->manager->post(this->access->request(EtcdPaths::watch), this->requestBody());
    QObject::connect(this->reply, &QNetworkReply::readyRead, this->reply,
                     [this] { this->handleData(); });
    QObject::connect(this->reply, &QNetworkReply::finished, this->reply,
                     [this] { this->handleEnd(); });
    this->silenceTimer = this->access->timers().after(this->access->settings().callTimeout,
                                                      [this] { this->handleEnd(); });
}

void HttpWatch::close()
{
    this->silenceTimer.cancel();
    this->buffer.clear();
    QNetworkReply *open = std::exchange(this->reply, nullptr);
    if (open == nullptr)
        return;
    QObject::disconnect(open, nullptr, open, nullptr);
    open->abort();
    open->deleteLater();
}

void HttpWatch::reopenLater()
{
    const auto pause = this->backoff.next(this->access->random());
    this->retryTimer = this->access->timers().after(pause, [this] { this->open(); });
}

void HttpWatch::handleEnd()
{
    this->access->reportFailure(this->endpoint);
    this->close();
    this->reopenLater();
}

void HttpWatch::handleData()
{
    const std::weak_ptr<bool> guard = this->alive;
    const QNetworkReply *const current = this->reply;
    this->buffer += this->reply->readAll();
    qsizetype end = this->buffer.indexOf('\n');
    while (end >= 0) {
        const QByteArray line = this->buffer.left(end);
        this->buffer.remove(0, end + 1);
        this->handleLine(line);
        if (guard.expired() || this->reply != current)
            return;
        end = this->buffer.indexOf('\n');
    }
}

void HttpWatch::handleLine(const QByteArray &line)
{
    const QJsonDocument document = QJsonDocument::fromJson(line);
    const QJsonValue result = document.object().value(QLatin1String("result"));
    if (!result.isObject()) {
        this->handleEnd();
        return;
    }
    this->handleResult(result.toObject());
}

void HttpWatch::handleResult(const QJsonObject &result)
{
    if (result.value(QLatin1String("canceled")).toBool()) {
        this->close();
        this->readAgain();
        return;
    }
    this->backoff.reset();
    // Spread over a quarter, so that watches opened together aren't renewed together.
    const auto renewal = this->access->settings().watchRenewal;
    const auto spread = std::chrono::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(renewal.count()) * this->access->random() / 4));
    this->silenceTimer = this->access->timers().after(renewal - spread, [this] { this->open(); });

    const std::weak_ptr<bool> guard = this->alive;
    for (const QJsonValue event : result.value(QLatin1String("events")).toArray()) {
        const QJsonObject object = event.toObject().value(QLatin1String("kv")).toObject();
        const StoreRecord record = EtcdJson::toRecord(object);
        if (record.modRevision < this->seenRevision)
            continue;
        this->seenRevision = record.modRevision;
        this->report(record);
        if (guard.expired())
            return;
    }
}

void HttpWatch::readAgain()
{
    if (!this->access->takeCall(CallPriority::Ordinary, EtcdPaths::range)) {
        this->reopenLater();
        return;
    }
    const QByteArray content =
            QJsonDocument(EtcdJson::fromRange(this->keys)).toJson(QJsonDocument::Compact);
    this->reading = std::make_unique<HttpCall>(
            *this->manager, this->access->timers(), this->access->request(EtcdPaths::range),
            content, this->access->settings().callTimeout, [this](const HttpCallResult &result) {
                const auto ended = std::move(this->reading);
                this->finishReading(result);
            });
}

void HttpWatch::finishReading(const HttpCallResult &result)
{
    const QJsonValue header = result.body.value(QLatin1String("header"));
    if (!header.isObject()) {
        this->handleEnd();
        return;
    }
    const std::int64_t readRevision =
            EtcdJson::toInteger(header.toObject().value(QLatin1String("revision")));
    std::vector<StoreRecord> list;
    for (const QJsonValue entry : result.body.value(QLatin1String("kvs")).toArray())
        list.push_back(EtcdJson::toRecord(entry.toObject()));
    std::vector<StoreRecord> changes = this->reportedKeys.missingFrom(list, readRevision);
    std::copy_if(list.begin(), list.end(), std::back_inserter(changes),
                 [this](const auto &record) { return record.modRevision > this->seenRevision; });
    std::sort(changes.begin(), changes.end(),
              [](const StoreRecord &left, const StoreRecord &right) {
                  return left.modRevision < right.modRevision;
              });
    this->seenRevision = std::max(this->seenRevision, readRevision);
    this->retryTimer =
            this->access->timers().after(std::chrono::milliseconds(0), [this] { this->open(); });
    const std::weak_ptr<bool> guard = this->alive;
    for (const StoreRecord &record : changes) {
        this->report(record);
        if (guard.expired())
            return;
    }
}

void HttpWatch::report(const StoreRecord &record)
{
    this->reportedKeys.note(record);
    const PlatformStore::WatchCallback notify = this->callback;
    notify(record);
}

QByteArray HttpWatch::requestBody() const
{
    QJsonObject create = EtcdJson::fromRange(this->keys);
    create.insert(QStringLiteral("start_revision"), EtcdJson::fromInteger(this->seenRevision + 1));
    const QJsonObject request{{QStringLiteral("create_request"), create}};
    return QJsonDocument(request).toJson(QJsonDocument::Compact);
}

} // namespace lacewingmux

#include "platform-store/StoreContents.h"

#include <QJsonArray>

#include <algorithm>
#include <utility>

namespace lacewingmux::standin {

namespace {

constexpr int notFoundStatus = 404;
constexpr int conflictStatus = 412;

const QString keyField = QStringLiteral("key");
const QString leaseField = QStringLiteral("lease");
const QString revisionField = QStringLiteral("rev");
const QString valueField = QStringLiteral("value");

QByteArray keyOf(const QJsonObject &object)
{
    return object.value(keyField).toString().toUtf8();
}

} // namespace

StoreContents::StoreContents(TimerService &timerService, std::function<void()> changeHook)
    : timers(timerService)
    , changed(std::move(changeHook))
{ }

void StoreContents::put(const QByteArray &key, const QByteArray &value, std::int64_t lease)
{
    const auto known = this->items.find(key);
    const QString createdField = QStringLiteral("createdRev");
    const qint64 created = known == this->items.end()
                                   ? static_cast<qint64>(this->revision + 1)
                                   : known->second.value(createdField).toInteger();
    this->record(key, {{valueField, QString::fromLatin1(value.toBase64())},
                       {createdField, created},
                       {leaseField, static_cast<qint64>(lease)}});
    this->changed();
}

void StoreContents::remove(const QByteArray &key)
{
    if (this->items.count(key) == 0)
        return;
    this->record(key, {{QStringLiteral("deleted"), true}});
    this->changed();
}

void StoreContents::record(const QByteArray &key, QJsonObject item)
{
    item.insert(keyField, QString::fromUtf8(key));
    item.insert(revisionField, static_cast<qint64>(++this->revision));
    this->history.push_back(item);
    if (item.contains(QStringLiteral("deleted")))
        this->items.erase(key);
    else
        this->items[key] = item;
}

StoreContents::Reply StoreContents::item(const QByteArray &key) const
{
    const auto found = this->items.find(key);
    if (found == this->items.end())
        return {notFoundStatus, this->withRevision({})};
    return {200, this->withRevision(found->second)};
}

StoreContents::Reply StoreContents::list(const QByteArray &prefix, const QByteArray &afterKey) const
{
    QJsonArray found;
    for (const auto &[key, item] : this->items) {
        if (key.startsWith(prefix) && key > afterKey)
            found.append(item);
    }
    return {200, this->withRevision(
                         {{QStringLiteral("items"), found}, {QStringLiteral("hasMore"), false}})};
}

StoreContents::Reply StoreContents::changes(const QByteArray &prefix,
                                            std::int64_t afterRevision) const
{
    QJsonArray events;
    for (const QJsonObject &change : this->history) {
        if (change.value(revisionField).toInteger() > afterRevision
            && keyOf(change).startsWith(prefix))
            events.append(change);
    }
    return {200, this->withRevision({{QStringLiteral("events"), events}})};
}

StoreContents::Reply StoreContents::transact(const QJsonObject &transaction)
{
    const QJsonArray expectations = transaction.value(QStringLiteral("expectedRev")).toArray();
    for (const QJsonValue expectation : expectations) {
        if (!this->holds(expectation.toObject()))
            return this->conflict(transaction);
    }
    if (this->namesLostLease(transaction))
        return {notFoundStatus, {}};
    for (const QJsonValue entry : transaction.value(QStringLiteral("put")).toArray()) {
        const QJsonObject put = entry.toObject();
        this->put(keyOf(put), QByteArray::fromBase64(put.value(valueField).toString().toLatin1()),
                  put.value(leaseField).toInteger());
    }
    for (const QJsonValue key : transaction.value(QStringLiteral("delete")).toArray())
        this->remove(key.toString().toUtf8());
    return {200, {{revisionField, static_cast<qint64>(this->revision)}}};
}

bool StoreContents::holds(const QJsonObject &expectation) const
{
    const auto found = this->items.find(keyOf(expectation));
    const qint64 current =
            found == this->items.end() ? 0 : found->second.value(revisionField).toInteger();
    return expectation.value(revisionField).toInteger() == current;
}

bool StoreContents::namesLostLease(const QJsonObject &transaction) const
{
    const QJsonArray puts = transaction.value(QStringLiteral("put")).toArray();
    return std::any_of(puts.begin(), puts.end(), [this](const QJsonValue &put) {
        const qint64 lease = put.toObject().value(leaseField).toInteger();
        return lease != 0 && this->leases.count(lease) == 0;
    });
}

StoreContents::Reply StoreContents::conflict(const QJsonObject &transaction) const
{
    QJsonArray current;
    const QJsonArray expectations = transaction.value(QStringLiteral("expectedRev")).toArray();
    for (const QJsonValue expectation : expectations) {
        const auto found = this->items.find(keyOf(expectation.toObject()));
        if (found != this->items.end())
            current.append(found->second);
    }
    return {conflictStatus, this->withRevision({{QStringLiteral("items"), current}})};
}

StoreContents::Reply StoreContents::grantLease(std::chrono::milliseconds duration)
{
    const std::int64_t lease = this->nextLease++;
    this->leases[lease].duration = duration;
    this->scheduleExpiry(lease);
    return {200,
            {{leaseField, static_cast<qint64>(lease)},
             {QStringLiteral("ttlMs"), static_cast<qint64>(duration.count())}}};
}

StoreContents::Reply StoreContents::renewLease(std::int64_t lease)
{
    if (this->leases.count(lease) == 0)
        return {notFoundStatus, {}};
    this->scheduleExpiry(lease);
    return {};
}

StoreContents::Reply StoreContents::endLease(std::int64_t lease)
{
    if (this->leases.count(lease) == 0)
        return {notFoundStatus, {}};
    this->removeLease(lease);
    return {};
}

void StoreContents::scheduleExpiry(std::int64_t lease)
{
    Lease &entry = this->leases.at(lease);
    entry.expiry = this->timers.after(entry.duration, [this, lease] { this->removeLease(lease); });
}

void StoreContents::removeLease(std::int64_t lease)
{
    const auto ended = this->leases.extract(lease); // its timer may be the caller
    std::vector<QByteArray> keys;
    for (const auto &[key, item] : this->items) {
        if (item.value(leaseField).toInteger() == lease)
            keys.push_back(key);
    }
    for (const QByteArray &key : keys)
        this->remove(key);
}

QJsonObject StoreContents::withRevision(QJsonObject body) const
{
    body.insert(QStringLiteral("storeRevision"), static_cast<qint64>(this->revision));
    return body;
}

} // namespace lacewingmux::standin

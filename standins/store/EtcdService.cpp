#include "store/EtcdService.h"

#include "lacewingmux_keyvalue/etcd/EtcdJson.h"

#include <QJsonArray>

namespace lacewingmux {

namespace {

constexpr int invalidArgumentCode = 3;
constexpr int notFoundCode = 5;

KeyValueWrite putStep(const QJsonObject &body)
{
    return {KeyValueWrite::Kind::Put,
            KeyRange::single(EtcdJson::toBytes(body.value(QLatin1String("key")))),
            EtcdJson::toBytes(body.value(QLatin1String("value"))),
            EtcdJson::toInteger(body.value(QLatin1String("lease")))};
}

KeyValueWrite removeStep(const QJsonObject &body)
{
    return {KeyValueWrite::Kind::Remove, EtcdJson::toRange(body), {}, 0};
}

} // namespace

EtcdReply EtcdService::handle(const QString &path, const QJsonObject &body, KeyValueTable::Time now)
{
    this->keyValues.expireLeases(now);
    if (path == QLatin1String("/v3/kv/range"))
        return this->range(body);
    if (path == QLatin1String("/v3/kv/put"))
        return this->put(body);
    if (path == QLatin1String("/v3/kv/deleterange"))
        return this->deleteRange(body);
    if (path == QLatin1String("/v3/kv/txn"))
        return this->transaction(body);
    if (path == QLatin1String("/v3/lease/grant"))
        return this->grantLease(body, now);
    if (path == QLatin1String("/v3/lease/keepalive"))
        return this->keepAlive(body, now);
    if (path == QLatin1String("/v3/lease/revoke") || path == QLatin1String("/v3/kv/lease/revoke"))
        return this->revokeLease(body);
    return error(404, notFoundCode, QStringLiteral("Not Found"));
}

QJsonObject EtcdService::header() const
{
    return {{QStringLiteral("revision"), EtcdJson::fromInteger(this->keyValues.revision())}};
}

EtcdReply EtcdService::range(const QJsonObject &body) const
{
    const bool keysOnly = EtcdJson::member(body, "keys_only", "keysOnly").toBool();
    QJsonArray records;
    for (StoreRecord record : this->keyValues.range(EtcdJson::toRange(body))) {
        if (keysOnly)
            record.value.clear();
        records.append(EtcdJson::fromRecord(record));
    }
    QJsonObject answer{{QStringLiteral("header"), this->header()}};
    if (!records.isEmpty()) {
        answer.insert(QStringLiteral("count"), EtcdJson::fromInteger(records.size()));
        answer.insert(QStringLiteral("kvs"), records);
    }
    return {200, answer, false};
}

EtcdReply EtcdService::put(const QJsonObject &body)
{
    EtcdReply checked = this->checkPut(body);
    if (checked.status != 200)
        return checked;
    this->keyValues.write({putStep(body)});
    return {200, {{QStringLiteral("header"), this->header()}}, true};
}

EtcdReply EtcdService::deleteRange(const QJsonObject &body)
{
    const std::int64_t removed = this->keyValues.write({removeStep(body)});
    QJsonObject answer{{QStringLiteral("header"), this->header()}};
    if (removed > 0)
        answer.insert(QStringLiteral("deleted"), EtcdJson::fromInteger(removed));
    return {200, answer, true};
}

EtcdReply EtcdService::transaction(const QJsonObject &body)
{
    bool holds = true;
    for (const QJsonValue compare : body.value(QLatin1String("compare")).toArray())
        holds = holds && this->compareHolds(compare.toObject());
    const QJsonArray branch =
            body.value(holds ? QLatin1String("success") : QLatin1String("failure")).toArray();

    std::vector<KeyValueWrite> steps;
    for (const QJsonValue entry : branch) {
        const QJsonObject operation = entry.toObject();
        const auto put = EtcdJson::member(operation, "request_put", "requestPut").toObject();
        const auto removal =
                EtcdJson::member(operation, "request_delete_range", "requestDeleteRange")
                        .toObject();
        if (!put.isEmpty()) {
            EtcdReply checked = this->checkPut(put);
            if (checked.status != 200)
                return checked;
            steps.push_back(putStep(put));
        } else if (!removal.isEmpty()) {
            steps.push_back(removeStep(removal));
        }
    }
    this->keyValues.write(steps);

    QJsonArray responses;
    for (const QJsonValue entry : branch) {
        const auto range =
                EtcdJson::member(entry.toObject(), "request_range", "requestRange").toObject();
        if (range.isEmpty())
            responses.append(
                    QJsonObject{{QStringLiteral("response_put"),
                                 QJsonObject{{QStringLiteral("header"), this->header()}}}});
        else
            responses.append(
                    QJsonObject{{QStringLiteral("response_range"), this->range(range).body}});
    }
    QJsonObject answer{{QStringLiteral("header"), this->header()},
                       {QStringLiteral("responses"), responses}};
    if (holds)
        answer.insert(QStringLiteral("succeeded"), true);
    return {200, answer, !steps.empty()};
}

bool EtcdService::compareHolds(const QJsonObject &compare) const
{
    const auto record =
            this->keyValues.find(EtcdJson::toBytes(compare.value(QLatin1String("key"))));
    const bool onCreation =
            compare.value(QLatin1String("target")).toString() == QLatin1String("CREATE");
    std::int64_t actual = 0;
    if (record)
        actual = onCreation ? record->createRevision : record->modRevision;
    const std::int64_t expected = EtcdJson::toInteger(
            onCreation ? EtcdJson::member(compare, "create_revision", "createRevision")
                       : EtcdJson::member(compare, "mod_revision", "modRevision"));
    const QString relation = compare.value(QLatin1String("result")).toString();
    if (relation == QLatin1String("GREATER"))
        return actual > expected;
    if (relation == QLatin1String("LESS"))
        return actual < expected;
    if (relation == QLatin1String("NOT_EQUAL"))
        return actual != expected;
    return actual == expected;
}

EtcdReply EtcdService::grantLease(const QJsonObject &body, KeyValueTable::Time now)
{
    const std::int64_t seconds = EtcdJson::toInteger(body.value(QLatin1String("TTL")));
    if (seconds <= 0)
        return error(400, invalidArgumentCode, QStringLiteral("etcdserver: too small lease TTL"));
    const std::int64_t leaseId = this->keyValues.grantLease(std::chrono::seconds(seconds), now);
    return {200,
            {{QStringLiteral("header"), this->header()},
             {QStringLiteral("ID"), EtcdJson::fromInteger(leaseId)},
             {QStringLiteral("TTL"), EtcdJson::fromInteger(seconds)}},
            true};
}

EtcdReply EtcdService::keepAlive(const QJsonObject &body, KeyValueTable::Time now)
{
    const std::int64_t leaseId = EtcdJson::toInteger(body.value(QLatin1String("ID")));
    const auto timeToLive = this->keyValues.keepAlive(leaseId, now);
    QJsonObject result{{QStringLiteral("header"), this->header()},
                       {QStringLiteral("ID"), EtcdJson::fromInteger(leaseId)}};
    if (timeToLive)
        result.insert(QStringLiteral("TTL"), EtcdJson::fromInteger(timeToLive->count()));
    return {200, {{QStringLiteral("result"), result}}, false};
}

EtcdReply EtcdService::revokeLease(const QJsonObject &body)
{
    if (!this->keyValues.revokeLease(EtcdJson::toInteger(body.value(QLatin1String("ID")))))
        return error(404, notFoundCode, QStringLiteral("etcdserver: requested lease not found"));
    return {200, {{QStringLiteral("header"), this->header()}}, true};
}

EtcdReply EtcdService::checkPut(const QJsonObject &body) const
{
    const KeyValueWrite step = putStep(body);
    if (step.keys.begin.isEmpty())
        return error(400, invalidArgumentCode, QStringLiteral("etcdserver: key is not provided"));
    if (step.value.size() > valueLimitBytes)
        return error(400, invalidArgumentCode, QStringLiteral("etcdserver: request is too large"));
    if (step.leaseId != 0 && !this->keyValues.hasLease(step.leaseId))
        return error(404, notFoundCode, QStringLiteral("etcdserver: requested lease not found"));
    return {};
}

EtcdReply EtcdService::error(int status, int code, const QString &message)
{
    return {status,
            {{QStringLiteral("error"), message},
             {QStringLiteral("code"), code},
             {QStringLiteral("message"), message}},
            false};
}

} // namespace lacewingmux

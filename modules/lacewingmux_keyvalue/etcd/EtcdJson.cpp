#include "lacewingmux_keyvalue/etcd/EtcdJson.h"

#include <QString>

namespace lacewingmux {

QJsonValue EtcdJson::fromBytes(const QByteArray &bytes)
{
    return QString::fromLatin1(bytes.toBase64());
}

QByteArray EtcdJson::toBytes(const QJsonValue &value)
{
    return QByteArray::fromBase64(value.toString().toLatin1());
}

QJsonValue EtcdJson::fromInteger(std::int64_t number)
{
    return QString::number(number);
}

std::int64_t EtcdJson::toInteger(const QJsonValue &value)
{
    return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

QJsonObject EtcdJson::fromRange(const KeyRange &keys)
{
    QJsonObject object{{QStringLiteral("key"), fromBytes(keys.begin)}};
    if (!keys.end.isEmpty())
        object.insert(QStringLiteral("range_end"), fromBytes(keys.end));
    return object;
}

KeyRange EtcdJson::toRange(const QJsonObject &object)
{
    return KeyRange{toBytes(object.value(QLatin1String("key"))),
                    toBytes(member(object, "range_end", "rangeEnd"))};
}

QJsonObject EtcdJson::fromRecord(const StoreRecord &record)
{
    QJsonObject object{{QStringLiteral("key"), fromBytes(record.key)},
                       {QStringLiteral("mod_revision"), fromInteger(record.modRevision)}};
    if (record.createRevision != 0)
        object.insert(QStringLiteral("create_revision"), fromInteger(record.createRevision));
    if (!record.value.isEmpty())
        object.insert(QStringLiteral("value"), fromBytes(record.value));
    if (record.leaseId != 0)
        object.insert(QStringLiteral("lease"), fromInteger(record.leaseId));
    return object;
}

StoreRecord EtcdJson::toRecord(const QJsonObject &object)
{
    StoreRecord record;
    record.key = toBytes(object.value(QLatin1String("key")));
    record.value = toBytes(object.value(QLatin1String("value")));
    record.createRevision = toInteger(member(object, "create_revision", "createRevision"));
    record.modRevision = toInteger(member(object, "mod_revision", "modRevision"));
    record.leaseId = toInteger(object.value(QLatin1String("lease")));
    return record;
}

QJsonValue EtcdJson::member(const QJsonObject &object, const char *snakeCaseName,
                            const char *camelCaseName)
{
    const QJsonValue value = object.value(QLatin1String(snakeCaseName));
    return value.isUndefined() ? object.value(QLatin1String(camelCaseName)) : value;
}

} // namespace lacewingmux

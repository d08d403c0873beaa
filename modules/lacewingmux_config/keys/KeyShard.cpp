#include "lacewingmux_config/keys/KeyShard.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux {

namespace {

using Time = std::chrono::system_clock::time_point;

constexpr int hexadecimalBase = 16;

qint64 toSeconds(Time time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

Time fromSeconds(qint64 seconds)
{
    constexpr qint64 maximumSeconds = 8'000'000'000; // in the year 2223; later ones overflow
    return Time(std::chrono::seconds(std::clamp<qint64>(seconds, 0, maximumSeconds)));
}

QJsonObject toJsonObject(const KeyRecord &key)
{
    QJsonObject object{{QStringLiteral("id"), key.keyId},
                       {QStringLiteral("team"), key.team},
                       {QStringLiteral("salt"), QString::fromLatin1(key.salt.toHex())},
                       {QStringLiteral("digest"), QString::fromLatin1(key.digest.toHex())},
                       {QStringLiteral("issued"), toSeconds(key.issued)}};
    if (key.withdrawn)
        object.insert(QStringLiteral("withdrawn"), toSeconds(*key.withdrawn));
    return object;
}

QByteArray bytesFrom(const QJsonObject &object, QLatin1String field)
{
    return QByteArray::fromHex(object.value(field).toString().toLatin1());
}

KeyRecord fromJsonObject(const QJsonObject &object)
{
    KeyRecord key;
    key.keyId = object.value(QStringLiteral("id")).toString();
    key.team = object.value(QStringLiteral("team")).toString();
    key.salt = bytesFrom(object, QLatin1String("salt"));
    key.digest = bytesFrom(object, QLatin1String("digest"));
    key.issued = fromSeconds(object.value(QStringLiteral("issued")).toInteger());
    if (object.contains(QStringLiteral("withdrawn")))
        key.withdrawn = fromSeconds(object.value(QStringLiteral("withdrawn")).toInteger());
    if (key.keyId.isEmpty() || key.salt.isEmpty() || key.digest.isEmpty())
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                               QStringLiteral("a key record without id, salt or digest"));
    return key;
}

} // namespace

int KeyShard::indexFor(const QString &keyId)
{
    return keyId.left(1).toInt(nullptr, hexadecimalBase);
}

QByteArray KeyShard::storeKey(int shardIndex)
{
    return QByteArray(storePrefix) + QByteArray::number(shardIndex, hexadecimalBase);
}

QByteArray KeyShard::toJson() const
{
    QJsonArray list;
    for (const KeyRecord &key : this->keys)
        list.append(toJsonObject(key));
    return QJsonDocument(
                   QJsonObject{{QStringLiteral("revision"), static_cast<qint64>(this->revision)},
                               {QStringLiteral("keys"), list}})
            .toJson(QJsonDocument::Compact);
}

KeyShard KeyShard::fromJson(int shardIndex, const QByteArray &json)
{
    KeyShard shard;
    shard.index = shardIndex;
    if (json.isEmpty())
        return shard;

    const QJsonDocument document = QJsonDocument::fromJson(json);
    if (!document.isObject())
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                               QStringLiteral("key shard %1 is no JSON object").arg(shardIndex));
    const qint64 revision = document.object().value(QStringLiteral("revision")).toInteger();
    if (revision < 0)
        throw LacewingmuxError(
                ErrorKind::ConfigurationInvalid,
                QStringLiteral("key shard %1: revision is negative").arg(shardIndex));
    shard.revision = static_cast<std::uint64_t>(revision);
    for (const QJsonValue key : document.object().value(QStringLiteral("keys")).toArray())
        shard.keys.push_back(fromJsonObject(key.toObject()));
    return shard;
}

} // namespace lacewingmux

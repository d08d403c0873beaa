#include "lacewingmux_backend/replicas/ReplicaRecord.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QJsonObject>

namespace lacewingmux {

namespace {

constexpr int maxSequencesLimit = 100000;

[[noreturn]] void fail(const QString &name, const char *field, const char *fault)
{
    throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                           QStringLiteral("replica %1: %2 %3")
                                   .arg(name, QString::fromUtf8(field), QString::fromUtf8(fault)));
}

RouteKind kindFrom(const QString &name, const QString &text)
{
    if (text == QStringLiteral("engine"))
        return RouteKind::ModelEngine;
    if (text == QStringLiteral("service"))
        return RouteKind::Service;
    fail(name, "kind", "must be \"engine\" or \"service\"");
}

} // namespace

ReplicaRecord ReplicaRecord::fromJson(const QString &zone, const QString &name,
                                      const QByteArray &json)
{
    const QJsonDocument document = QJsonDocument::fromJson(json);
    if (!document.isObject())
        fail(name, "record", "must be a JSON object");
    const QJsonObject object = document.object();

    ReplicaRecord record;
    record.name = name;
    record.zone = zone;
    record.url = QUrl(object.value(QStringLiteral("url")).toString());
    const bool isHttp = record.url.scheme() == QLatin1String("http");
    if (!record.url.isValid() || !isHttp || QHostAddress(record.url.host()).isNull())
        fail(name, "url", "must be an http URL with an IP address");
    record.route = object.value(QStringLiteral("route")).toString();
    if (record.route.isEmpty())
        fail(name, "route", "must not be empty");
    record.kind = kindFrom(name, object.value(QStringLiteral("kind")).toString());
    record.wattsPerSequence = object.value(QStringLiteral("wattsPerSequence")).toDouble();
    if (record.wattsPerSequence < 0)
        fail(name, "wattsPerSequence", "must not be negative");
    record.maxSequences = object.value(QStringLiteral("maxSequences")).toInt(1);
    if (record.maxSequences < 1 || record.maxSequences > maxSequencesLimit)
        fail(name, "maxSequences", "must be from 1 to 100000");
    record.checksFencing = object.value(QStringLiteral("checksFencing")).toBool();
    record.vm = object.value(QStringLiteral("vm")).toString();
    return record;
}

} // namespace lacewingmux

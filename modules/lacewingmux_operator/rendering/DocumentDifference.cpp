#include "lacewingmux_operator/rendering/DocumentDifference.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QMap>

namespace lacewingmux {

namespace {

using Leaves = QMap<QString, QString>; ///< path and value as JSON text

QString valueText(const QJsonValue &value)
{
    const QByteArray text = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    return QString::fromUtf8(text.mid(1, text.size() - 2));
}

/** Names an element of a list so that it is found again when others come before it. */
QString elementName(const QJsonValue &element, qsizetype index)
{
    const QJsonObject object = element.toObject();
    for (const char *field : {"name", "team", "plan"}) {
        const QString name = object.value(QLatin1String(field)).toString();
        if (name.isEmpty())
            continue;
        const QString route = object.value(QLatin1String("route")).toString();
        return route.isEmpty() ? name : name + u' ' + route;
    }
    return QString::number(index);
}

void collect(const QString &path, const QJsonValue &value, Leaves &leaves)
{
    if (value.isObject()) {
        const QJsonObject object = value.toObject();
        for (auto field = object.begin(); field != object.end(); ++field)
            collect(path.isEmpty() ? field.key() : path + u'.' + field.key(), *field, leaves);
        return;
    }
    const QJsonArray array = value.toArray();
    if (array.isEmpty() || !array.first().isObject()) {
        leaves.insert(path, valueText(value));
        return;
    }
    for (qsizetype index = 0; index < array.size(); ++index)
        collect(path + u'[' + elementName(array[index], index) + u']', array[index], leaves);
}

} // namespace

QStringList documentDifference(const QJsonObject &first, const QJsonObject &second)
{
    Leaves before;
    Leaves after;
    collect({}, first, before);
    collect({}, second, after);
    QStringList paths = before.keys() + after.keys();
    paths.sort();
    paths.removeDuplicates();
    QStringList lines;
    for (const QString &path : std::as_const(paths)) {
        if (before.contains(path) && before.value(path) != after.value(path))
            lines.append(QStringLiteral("- %1: %2").arg(path, before.value(path)));
        if (after.contains(path) && before.value(path) != after.value(path))
            lines.append(QStringLiteral("+ %1: %2").arg(path, after.value(path)));
    }
    return lines;
}

} // namespace lacewingmux

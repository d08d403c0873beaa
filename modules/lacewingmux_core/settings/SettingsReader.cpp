#include "lacewingmux_core/settings/SettingsReader.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <cmath>

namespace lacewingmux {

namespace {

constexpr qsizetype shownValueLimit = 60; ///< characters of a faulty value that a fault shows

QString shown(const QJsonValue &value)
{
    if (value.isUndefined())
        return QStringLiteral("nothing");
    QString text =
            QString::fromUtf8(QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact));
    text = text.mid(1, text.size() - 2);
    if (text.size() > shownValueLimit)
        text = text.left(shownValueLimit) + QStringLiteral("...");
    return text;
}

QString numberText(double value)
{
    constexpr int significantDigits = 12;
    return QString::number(value, 'g', significantDigits);
}

QString rangeText(const NumberRule &rule)
{
    QString text = numberText(rule.minimum) + QStringLiteral(" to ") + numberText(rule.maximum);
    if (!rule.unit.isEmpty())
        text += u' ' + rule.unit;
    return text;
}

QString countText(const ListRule &rule)
{
    return QStringLiteral("%1 to %2 elements").arg(rule.minimumCount).arg(rule.maximumCount);
}

const QString requiredText = QStringLiteral("required");

/** Strips the index of every list element, as the documentation names fields. */
QString withoutIndexes(QString path)
{
    qsizetype open = 0;
    while ((open = path.indexOf(u'[', open)) >= 0) {
        const qsizetype close = path.indexOf(u']', open);
        path.remove(open + 1, close - open - 1);
        open += 2;
    }
    return path;
}

} // namespace

SettingsReader::SettingsReader(QJsonObject object, QString objectPath,
                               SettingsFindings &sharedFindings)
    : source(std::move(object))
    , path(std::move(objectPath))
    , findings(sharedFindings)
{ }

void SettingsReader::readDocument(const QByteArray &document, SettingsFindings &findings,
                                  const Body &body)
{
    QJsonParseError error;
    const QJsonDocument parsed = QJsonDocument::fromJson(document, &error);
    if (error.error != QJsonParseError::NoError) {
        const QString message = QStringLiteral("not JSON at byte %1: %2")
                                        .arg(error.offset)
                                        .arg(error.errorString());
        findings.faults.push_back({QString(), message});
        return;
    }
    if (!parsed.isObject()) {
        findings.faults.push_back({QString(), QStringLiteral("expected an object")});
        return;
    }
    SettingsReader::readObject(parsed.object(), findings, body);
}

void SettingsReader::readObject(const QJsonObject &object, SettingsFindings &findings,
                                const Body &body)
{
    SettingsReader reader(object, QString(), findings);
    body(reader);
    reader.reportUnknownFields();
}

bool SettingsReader::has(const char *name) const
{
    return this->source.contains(QLatin1String(name));
}

QString SettingsReader::text(const char *name, const TextRule &rule)
{
    this->describe(name, QStringLiteral("text"), rule.expected,
                   rule.fallback ? u'"' + *rule.fallback + u'"' : requiredText, rule.meaning);
    const QJsonValue value = this->take(name);
    if (value.isUndefined() && rule.fallback)
        return *rule.fallback;
    const QString result = value.toString();
    if (!value.isString() || (rule.accepts && !rule.accepts(result)))
        this->mismatch(name, value, QStringLiteral("text: ") + rule.expected);
    return result;
}

qint64 SettingsReader::integer(const char *name, const NumberRule &rule)
{
    return static_cast<qint64>(this->checkedNumber(name, rule, true));
}

double SettingsReader::number(const char *name, const NumberRule &rule)
{
    return this->checkedNumber(name, rule, false);
}

std::chrono::milliseconds SettingsReader::milliseconds(const char *name, NumberRule rule)
{
    rule.unit = QStringLiteral("ms");
    return std::chrono::milliseconds(this->integer(name, rule));
}

std::chrono::seconds SettingsReader::seconds(const char *name, NumberRule rule)
{
    rule.unit = QStringLiteral("s");
    return std::chrono::seconds(this->integer(name, rule));
}

bool SettingsReader::flag(const char *name, const QString &meaning, std::optional<bool> fallback)
{
    const QString fallbackText = !fallback   ? requiredText
                                 : *fallback ? QStringLiteral("true")
                                             : QStringLiteral("false");
    this->describe(name, QStringLiteral("flag"), QStringLiteral("true or false"), fallbackText,
                   meaning);
    const QJsonValue value = this->take(name);
    if (value.isUndefined() && fallback)
        return *fallback;
    if (!value.isBool())
        this->mismatch(name, value, QStringLiteral("true or false"));
    return value.toBool();
}

std::vector<QString> SettingsReader::texts(const char *name, const ListRule &listRule,
                                           const TextRule &elementRule)
{
    this->describe(name, QStringLiteral("list of texts"),
                   countText(listRule) + QStringLiteral(": ") + elementRule.expected,
                   listRule.minimumCount > 0 ? requiredText : QStringLiteral("empty"),
                   listRule.meaning);
    const QJsonValue value = this->take(name);
    const QJsonArray array = value.toArray();
    const bool isList = value.isArray() || value.isUndefined();
    if (!isList || array.size() < listRule.minimumCount || array.size() > listRule.maximumCount)
        this->mismatch(name, value, QStringLiteral("a list of ") + countText(listRule));

    std::vector<QString> result;
    for (qsizetype index = 0; index < array.size(); ++index) {
        const QString element = array[index].toString();
        const bool accepted =
                array[index].isString() && (!elementRule.accepts || elementRule.accepts(element));
        if (!accepted) {
            const QByteArray elementName = QByteArray(name) + '[' + QByteArray::number(index) + ']';
            this->mismatch(elementName.constData(), array[index],
                           QStringLiteral("text: ") + elementRule.expected);
        }
        result.push_back(element);
    }
    return result;
}

void SettingsReader::object(const char *name, const Body &body)
{
    const QJsonValue value = this->take(name);
    if (!value.isUndefined() && !value.isObject())
        this->mismatch(name, value, QStringLiteral("an object"));
    SettingsReader reader(value.toObject(), this->pathOf(name), this->findings);
    body(reader);
    reader.reportUnknownFields();
}

bool SettingsReader::optionalObject(const char *name, const Body &body)
{
    if (!this->has(name)) {
        this->asked.insert(QString::fromLatin1(name));
        return false;
    }
    this->object(name, body);
    return true;
}

void SettingsReader::objects(const char *name, const ListRule &rule, const Body &body)
{
    this->describe(name, QStringLiteral("list of objects"), countText(rule),
                   rule.minimumCount > 0 ? requiredText : QStringLiteral("empty"), rule.meaning);
    const QJsonValue value = this->take(name);
    const QJsonArray array = value.toArray();
    const bool isList = value.isArray() || value.isUndefined();
    if (!isList || array.size() < rule.minimumCount || array.size() > rule.maximumCount)
        this->mismatch(name, value, QStringLiteral("a list of ") + countText(rule));

    for (qsizetype index = 0; index < array.size(); ++index) {
        const QByteArray elementName = QByteArray(name) + '[' + QByteArray::number(index) + ']';
        if (!array[index].isObject())
            this->mismatch(elementName.constData(), array[index], QStringLiteral("an object"));
        SettingsReader reader(array[index].toObject(), this->pathOf(elementName.constData()),
                              this->findings);
        body(reader);
        reader.reportUnknownFields();
    }
}

void SettingsReader::fault(const char *name, const QString &message)
{
    this->findings.faults.push_back({this->pathOf(name), message});
}

QString SettingsReader::pathOf(const char *name) const
{
    const QString field = QString::fromLatin1(name);
    return this->path.isEmpty() ? field : this->path + u'.' + field;
}

QJsonValue SettingsReader::take(const char *name)
{
    this->asked.insert(QString::fromLatin1(name));
    return this->source.value(QLatin1String(name));
}

void SettingsReader::describe(const char *name, const QString &type, const QString &range,
                              const QString &fallback, const QString &meaning)
{
    const QString fieldPath = withoutIndexes(this->pathOf(name));
    const auto &fields = this->findings.fields;
    const bool known = std::any_of(fields.begin(), fields.end(), [&fieldPath](const auto &field) {
        return field.path == fieldPath;
    });
    if (!known)
        this->findings.fields.push_back({fieldPath, type, range, fallback, meaning});
}

void SettingsReader::mismatch(const char *name, const QJsonValue &value, const QString &expected)
{
    const QString message = value.isUndefined()
                                    ? QStringLiteral("missing; expected ") + expected
                                    : QStringLiteral("found ") + shown(value)
                                              + QStringLiteral("; expected ") + expected;
    this->fault(name, message);
}

double SettingsReader::checkedNumber(const char *name, const NumberRule &rule, bool whole)
{
    const QString type = whole ? QStringLiteral("whole number") : QStringLiteral("number");
    this->describe(name, type, rangeText(rule),
                   rule.fallback ? numberText(*rule.fallback) : requiredText, rule.meaning);
    const QJsonValue value = this->take(name);
    if (value.isUndefined() && rule.fallback)
        return *rule.fallback;

    const double result = value.toDouble();
    const bool wholeEnough = !whole || std::trunc(result) == result;
    if (!value.isDouble() || !wholeEnough || result < rule.minimum || result > rule.maximum) {
        this->mismatch(name, value, QStringLiteral("a %1 from %2").arg(type, rangeText(rule)));
        return rule.fallback.value_or(rule.minimum);
    }
    return result;
}

void SettingsReader::reportUnknownFields()
{
    const QStringList names = this->source.keys();
    for (const QString &name : names) {
        if (!this->asked.contains(name))
            this->fault(name.toUtf8().constData(), QStringLiteral("unknown field"));
    }
}

} // namespace lacewingmux

#include "lacewingmux_core/logging/StructuredLog.h"

#include "lacewingmux_core/logging/LogOutput.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <array>

namespace lacewingmux {

namespace {

constexpr std::array<QLatin1String, 4> secretFieldNames{
        QLatin1String("key"), QLatin1String("authorization"), QLatin1String("secret"),
        QLatin1String("token")};

bool isSecretField(const QString &name)
{
    return std::any_of(
            secretFieldNames.begin(), secretFieldNames.end(),
            [&name](const auto secret) { return name.compare(secret, Qt::CaseInsensitive) == 0; });
}

QString quoted(const QString &text)
{
    const QByteArray array = QJsonDocument(QJsonArray{text}).toJson(QJsonDocument::Compact);
    return QString::fromUtf8(array.mid(1, array.size() - 2));
}

} // namespace

LogEvent::LogEvent(LogSeverity eventSeverity, const char *eventName)
    : severity(eventSeverity)
{
    this->field("event", eventName);
}

LogEvent::~LogEvent()
{
    QString line = QStringLiteral("{");
    for (const auto &[name, value] : this->fields) {
        if (line.size() > 1)
            line += u',';
        line += quoted(name) + u':' + value;
    }
    line += u'}';
    LogOutput::write(this->severity, line.toStdString());
}

LogEvent &LogEvent::field(const char *name, const QString &value)
{
    const QString fieldName = QString::fromLatin1(name);
    const QString shown = isSecretField(fieldName) ? QStringLiteral("(hidden)") : value;
    this->fields.emplace_back(fieldName, quoted(shown));
    return *this;
}

LogEvent &LogEvent::field(const char *name, const char *value)
{
    return this->field(name, QString::fromUtf8(value));
}

LogEvent &LogEvent::field(const char *name, qint64 value)
{
    this->fields.emplace_back(QString::fromLatin1(name), QString::number(value));
    return *this;
}

LogEvent &LogEvent::field(const char *name, quint64 value)
{
    this->fields.emplace_back(QString::fromLatin1(name), QString::number(value));
    return *this;
}

LogEvent &LogEvent::field(const char *name, int value)
{
    return this->field(name, static_cast<qint64>(value));
}

LogEvent &LogEvent::field(const char *name, unsigned value)
{
    return this->field(name, static_cast<quint64>(value));
}

LogEvent &LogEvent::field(const char *name, double value)
{
    this->fields.emplace_back(QString::fromLatin1(name), QString::number(value));
    return *this;
}

LogEvent &LogEvent::field(const char *name, bool value)
{
    this->fields.emplace_back(QString::fromLatin1(name),
                              value ? QStringLiteral("true") : QStringLiteral("false"));
    return *this;
}

} // namespace lacewingmux

#include "lacewingmux_core/logging/StructuredLog.h"

#include "lacewingmux_core/logging/LogOutput.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace lacewingmux {

namespace {

constexpr std::array secretFieldNames{"key", "authorization", "secret", "token"};
constexpr std::size_t typicalLineBytes = 384;

bool isSecretField(const char *name)
{
    return std::any_of(secretFieldNames.begin(), secretFieldNames.end(),
                       [name](const char *secret) { return qstricmp(name, secret) == 0; });
}

/** Appends the text as a JSON string. */
void appendQuoted(std::string &line, QByteArrayView text)
{
    constexpr char firstPrintable = 0x20;
    line += '"';
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (character >= 0 && character < firstPrintable) {
            char escaped[8];
            std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned>(character));
            line += escaped;
        } else {
            line += character;
        }
    }
    line += '"';
}

} // namespace

LogEvent::LogEvent(LogSeverity eventSeverity, const char *eventName)
    : severity(eventSeverity)
{
    this->object.reserve(typicalLineBytes);
    this->field("event", eventName);
}

LogEvent::~LogEvent()
{
    this->object += '}';
    LogOutput::write(this->severity, this->object);
}

void LogEvent::appendName(const char *name)
{
    this->object += this->object.empty() ? '{' : ',';
    appendQuoted(this->object, QByteArrayView(name));
    this->object += ':';
}

LogEvent &LogEvent::field(const char *name, const QString &value)
{
    return this->field(name, value.toUtf8());
}

LogEvent &LogEvent::field(const char *name, const QByteArray &value)
{
    this->appendName(name);
    appendQuoted(this->object,
                 isSecretField(name) ? QByteArrayView("(hidden)") : QByteArrayView(value));
    return *this;
}

LogEvent &LogEvent::field(const char *name, const char *value)
{
    return this->field(name, QByteArray::fromRawData(value, qstrlen(value)));
}

LogEvent &LogEvent::field(const char *name, qint64 value)
{
    this->appendName(name);
    this->object += std::to_string(value);
    return *this;
}

LogEvent &LogEvent::field(const char *name, quint64 value)
{
    this->appendName(name);
    this->object += std::to_string(value);
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
    this->appendName(name);
    this->object += QByteArray::number(value).toStdString();
    return *this;
}

LogEvent &LogEvent::field(const char *name, bool value)
{
    this->appendName(name);
    this->object += value ? "true" : "false";
    return *this;
}

} // namespace lacewingmux

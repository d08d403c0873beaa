#pragma once

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <string>

namespace lacewingmux {

/** How urgent a log event is. */
enum class LogSeverity : std::uint8_t { Info, Warning, Error };

/**
    One log event with named fields, written as one line of JSON when it goes out of scope:
   LogEvent(LogSeverity::Info, "viewAdopted").field("epoch", 7).

    Values of fields named like a secret (key, authorization, secret, token) are replaced, so
    that no caller's key can reach a log.
*/
class LogEvent
{
public:
    LogEvent(LogSeverity eventSeverity, const char *eventName);
    ~LogEvent();
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    LogEvent &field(const char *name, const QString &value);
    LogEvent &field(const char *name, const QByteArray &value);
    LogEvent &field(const char *name, const char *value);
    LogEvent &field(const char *name, qint64 value);
    LogEvent &field(const char *name, quint64 value);
    LogEvent &field(const char *name, int value);
    LogEvent &field(const char *name, unsigned value);
    LogEvent &field(const char *name, double value);
    LogEvent &field(const char *name, bool value);

private:
    void appendName(const char *name);

    LogSeverity severity;
    std::string object; ///< the fields so far, as an open JSON object
};

} // namespace lacewingmux

#pragma once

#include <QString>

#include <cstdint>
#include <utility>
#include <vector>

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
    LogEvent &field(const char *name, const char *value);
    LogEvent &field(const char *name, qint64 value);
    LogEvent &field(const char *name, quint64 value);
    LogEvent &field(const char *name, int value);
    LogEvent &field(const char *name, unsigned value);
    LogEvent &field(const char *name, double value);
    LogEvent &field(const char *name, bool value);

private:
    LogSeverity severity;
    std::vector<std::pair<QString, QString>> fields; ///< name and value as JSON text
};

} // namespace lacewingmux

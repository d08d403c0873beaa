#include "lacewingmux_core/logging/StandardOutputLog.h"

#include "lacewingmux_core/logging/LogOutput.h"

#include <cstdio>
#include <ctime>

#include <fcntl.h>
#include <unistd.h>

namespace lacewingmux {

namespace {

const char *severityName(LogSeverity severity)
{
    switch (severity) {
    case LogSeverity::Info:
        return "info";
    case LogSeverity::Warning:
        return "warning";
    case LogSeverity::Error:
        return "error";
    }
    return "info";
}

std::string textOf(std::chrono::system_clock::time_point time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    char fraction[8];
    std::snprintf(fraction, sizeof fraction, ".%03dZ", static_cast<int>(sinceEpoch.count() % 1000));
    return std::string(text, length) + fraction;
}

} // namespace

StandardOutputLog::StandardOutputLog(int linesPerSecond)
    : limit(linesPerSecond)
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    LogOutput::setWriter([this](LogSeverity severity, const std::string &object) {
        this->write(severity, object);
    });
}

StandardOutputLog::~StandardOutputLog()
{
    LogOutput::setWriter(nullptr);
}

void StandardOutputLog::write(LogSeverity severity, const std::string &object)
{
    const std::lock_guard lock(this->mutex);
    const auto now = std::chrono::system_clock::now();
    if (!this->mayWrite(severity, now)) {
        ++this->omitted;
        return;
    }
    std::string text = this->unwritten + this->lineOf(severity, object, now);
    const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
    if (written < static_cast<ssize_t>(this->unwritten.size())) {
        this->unwritten.erase(0, written > 0 ? static_cast<std::size_t>(written) : 0);
        ++this->omitted;
        return;
    }
    // A line that was begun is finished first, or the next one could not be told from it.
    this->unwritten = text.substr(static_cast<std::size_t>(written));
    this->omitted = 0;
}

bool StandardOutputLog::mayWrite(LogSeverity severity, std::chrono::system_clock::time_point now)
{
    const auto current =
            std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (current != this->second) {
        this->second = current;
        this->writtenThisSecond = 0;
    }
    const int allowed = severity == LogSeverity::Info ? this->limit : this->limit * 2;
    if (this->writtenThisSecond >= allowed)
        return false;
    ++this->writtenThisSecond;
    return true;
}

std::string StandardOutputLog::lineOf(LogSeverity severity, const std::string &object,
                                      std::chrono::system_clock::time_point now) const
{
    std::string line =
            R"({"time":")" + textOf(now) + R"(","severity":")" + severityName(severity) + '"';
    if (this->omitted > 0)
        line += R"(,"omitted":)" + std::to_string(this->omitted);
    return line + ',' + object.substr(1) + '\n';
}

} // namespace lacewingmux

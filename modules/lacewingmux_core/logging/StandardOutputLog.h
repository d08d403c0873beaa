#pragma once

#include "lacewingmux_core/logging/StructuredLog.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace lacewingmux {

/**
    Writes log events to the standard output while it lives, one JSON object a line with time and
    severity.

    It never blocks: what the reader of the output does not take is dropped. Only so many lines a
    second are written, and errors go before the rest. How many were left out stands in the next
    line that is written, as "omitted".
*/
class StandardOutputLog
{
public:
    /** Becomes the process's log output. */
    explicit StandardOutputLog(int linesPerSecond);
    ~StandardOutputLog();
    StandardOutputLog(const StandardOutputLog &) = delete;
    StandardOutputLog &operator=(const StandardOutputLog &) = delete;

private:
    void write(LogSeverity severity, const std::string &object);
    [[nodiscard]] bool mayWrite(LogSeverity severity, std::chrono::system_clock::time_point now);
    [[nodiscard]] std::string lineOf(LogSeverity severity, const std::string &object,
                                     std::chrono::system_clock::time_point now) const;

    std::mutex mutex;
    int limit;
    int writtenThisSecond = 0;
    std::int64_t second = 0;
    std::uint64_t omitted = 0;
    std::string unwritten; ///< the rest of a line that was written in part
};

} // namespace lacewingmux

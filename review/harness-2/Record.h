#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point startTime()
{
    static const Clock::time_point start = Clock::now();
    return start;
}

/** Seconds since the start of the case. */
inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - startTime()).count();
}

/** Writes what was sent, answered and run to record.txt; usable from all threads. */
class Record
{
public:
    explicit Record(const std::string &path)
        : file(std::fopen(path.c_str(), "w"))
    { }
    ~Record()
    {
        if (this->file != nullptr)
            std::fclose(this->file);
    }
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(this->mutex);
        std::fprintf(this->file, "%8.3f  %s\n", seconds(), text);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE *file;
};

} // namespace review

#include "Record.h"

#include <cstdarg>
#include <cstdio>
#include <mutex>

namespace review {

namespace {

std::mutex mutex;
FILE *file = nullptr;
const Clock::time_point started = Clock::now();

} // namespace

void Record::open(const std::string &path)
{
    file = std::fopen(path.c_str(), "w");
}

double Record::seconds(Clock::time_point time)
{
    return std::chrono::duration<double>(time - started).count();
}

void Record::write(const char *format, ...)
{
    const std::lock_guard lock(mutex);
    FILE *target = file != nullptr ? file : stdout;
    std::fprintf(target, "%8.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(target, format, arguments);
    va_end(arguments);
    std::fputc('\n', target);
    std::fflush(target);
}

} // namespace review

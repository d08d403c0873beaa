#pragma once

#include "Http.h"

#include <string>

namespace review {

/** Writes what was sent, answered and run into a file, a line each with seconds since the start. */
class Record
{
public:
    static void open(const std::string &path);
    static void write(const char *format, ...) __attribute__((format(printf, 1, 2)));
    static double seconds(Clock::time_point time = Clock::now());
};

} // namespace review

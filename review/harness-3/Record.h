#pragma once

#include "Time.h"

#include <cstdio>
#include <fstream>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>

namespace review {

/** Returns the parts as one text. */
inline std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}

/** The file in which a run notes what was sent, answered and run. */
class Record
{
public:
    void open(const std::string &path)
    {
        this->file.open(path, std::ios::trunc);
    }
    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", seconds());
        this->file << time << text << '\n';
        this->file.flush();
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline Record record;

} // namespace review

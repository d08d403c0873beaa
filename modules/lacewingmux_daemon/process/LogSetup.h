#pragma once

namespace lacewingmux {

struct LogSettings;

/**
    Starts glog for the life of the object: to files in the folder of the settings, or to the
    standard error stream. One object in a process; programs that embed the library and have glog
    set up leave it out.
*/
class LogSetup
{
public:
    LogSetup(const char *programName, const LogSettings &settings);
    ~LogSetup();
    LogSetup(const LogSetup &) = delete;
    LogSetup &operator=(const LogSetup &) = delete;
};

} // namespace lacewingmux

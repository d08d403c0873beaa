#include "lacewingmux_core/logging/LogOutput.h"

#include <glog/logging.h>

#include <utility>

namespace lacewingmux {

namespace {

LogOutput::Writer &writerInUse()
{
    static LogOutput::Writer writer;
    return writer;
}

void writeToGlog(LogSeverity severity, const std::string &object)
{
    switch (severity) {
    case LogSeverity::Info:
        LOG(INFO) << object;
        break;
    case LogSeverity::Warning:
        LOG(WARNING) << object;
        break;
    case LogSeverity::Error:
        LOG(ERROR) << object;
        break;
    }
}

} // namespace

void LogOutput::setWriter(Writer writer)
{
    writerInUse() = std::move(writer);
}

void LogOutput::write(LogSeverity severity, const std::string &object)
{
    const Writer &writer = writerInUse();
    if (writer)
        writer(severity, object);
    else
        writeToGlog(severity, object);
}

} // namespace lacewingmux

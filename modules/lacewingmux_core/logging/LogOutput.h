#pragma once

#include "lacewingmux_core/logging/StructuredLog.h"

#include <functional>
#include <string>

namespace lacewingmux {

/** Where log events go: to glog, unless the process sets a writer of its own at its start. */
class LogOutput
{
public:
    /** Takes the severity and the event's fields as one JSON object. May be called by any thread.
     */
    using Writer = std::function<void(LogSeverity severity, const std::string &object)>;

    /** Sets the writer; an empty one stands for glog. Call it before other threads log. */
    static void setWriter(Writer writer);

    /** Hands an event to the writer. */
    static void write(LogSeverity severity, const std::string &object);
};

} // namespace lacewingmux

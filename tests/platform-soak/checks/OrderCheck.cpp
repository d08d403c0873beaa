#include "checks/OrderCheck.h"

#include "callers/StreamEvent.h"
#include "checks/SoakRecords.h"

namespace lacewingmux::soak {

namespace {

constexpr int okStatus = 200;

/** Returns what is wrong with the order of a stream's events; null if nothing is. */
const char *faultOf(const CallRecord &call)
{
    std::vector<StreamEvent> events = StreamEvent::parseBody(call.body);
    // The event at which a stream was cut is no event of it.
    if (call.end != CallEnd::Complete && !events.empty() && events.back().number == 0)
        events.pop_back();
    int last = call.resumedAfter;
    QByteArray run;
    for (const StreamEvent &event : events) {
        if (event.number == 0)
            return "what is no event is within it";
        if (event.number != last + 1)
            return event.number <= last ? "an event is repeated" : "an event is missing";
        if (!run.isEmpty() && event.run != run && !mayRunAgain(call.kind))
            return "two runs are joined";
        run = event.run;
        last = event.number;
    }
    if (call.end == CallEnd::Complete && last != call.events)
        return "it ends as complete before its last event";
    return nullptr;
}

} // namespace

std::vector<Violation> checkOrder(const SoakRecords &records)
{
    std::vector<Violation> found;
    for (const CallRecord &call : records.calls) {
        if (!isStream(call.kind) || call.status != okStatus)
            continue;
        if (const char *fault = faultOf(call))
            found.push_back({"ORDER", call.requestId,
                             QLatin1String(fault) + QStringLiteral(": ") + records.describe(call)});
    }
    return found;
}

} // namespace lacewingmux::soak

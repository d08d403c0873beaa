#include "checks/MixedCheck.h"

#include "callers/StreamEvent.h"
#include "checks/SoakRecords.h"

#include <algorithm>

namespace lacewingmux::soak {

namespace {

bool isSuccess(int status)
{
    return status >= 200 && status <= 299;
}

/** Returns whether the stamp names a run of the request. */
bool isStampOfRun(const CallRecord &call, const SoakRecords &records)
{
    const QByteArray stamp = fieldValue(call.fields, "Lacewingmux-Server-Stamp");
    const std::vector<ReplicaRun> &runs = records.runsOf(call.requestId);
    return std::any_of(runs.begin(), runs.end(),
                       [&stamp](const ReplicaRun &run) { return run.run == stamp; });
}

bool hasForeignEvent(const CallRecord &call)
{
    const std::vector<StreamEvent> events = StreamEvent::parseBody(call.body);
    return std::any_of(events.begin(), events.end(), [&call](const StreamEvent &event) {
        return event.number > 0 && event.request != call.requestId;
    });
}

/** Returns what of the answer is not the request's own; null if all is. */
const char *faultOf(const CallRecord &call, const SoakRecords &records)
{
    if (!call.strayBytes.isEmpty())
        return "bytes behind the answer";
    if (call.status == 0)
        return nullptr;
    if (fieldValue(call.fields, "Lacewingmux-Request-Id") != call.requestId)
        return "another request's id";
    if (!isSuccess(call.status))
        return nullptr;
    if (!isStampOfRun(call, records))
        return "no stamp of a run of the request";
    if (isStream(call.kind))
        return hasForeignEvent(call) ? "another request's event" : nullptr;
    const QByteArray expected =
            call.requestId + ' ' + fieldValue(call.fields, "Lacewingmux-Server-Stamp") + '\n';
    return call.end == CallEnd::Complete && call.body != expected ? "another body" : nullptr;
}

} // namespace

std::vector<Violation> checkMixed(const SoakRecords &records)
{
    std::vector<Violation> found;
    for (const CallRecord &call : records.calls) {
        if (const char *fault = faultOf(call, records))
            found.push_back({"MIXED", call.requestId,
                             QLatin1String(fault) + QStringLiteral(": ") + records.describe(call)});
    }
    return found;
}

} // namespace lacewingmux::soak

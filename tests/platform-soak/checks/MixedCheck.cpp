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

/** Returns whether a field that belongs to one answer is there twice. */
bool hasTwoHeads(const CallRecord &call)
{
    const auto isThereTwice = [&call](const char *name) {
        return std::count_if(
                       call.fields.begin(), call.fields.end(),
                       [name](const HttpField &field) { return sameFieldName(field.name, name); })
               > 1;
    };
    return isThereTwice("Lacewingmux-Request-Id") || isThereTwice("Lacewingmux-Server-Stamp")
           || isThereTwice("Content-Length");
}

/** Returns whether the stamp names a run of the request. */
bool isStampOfRun(const CallRecord &call, const SoakRecords &records)
{
    const QByteArray stamp = fieldValue(call.fields, "Lacewingmux-Server-Stamp");
    const std::vector<ReplicaRun> &runs = records.runsOf(call.requestId);
    return std::any_of(runs.begin(), runs.end(),
                       [&stamp](const ReplicaRun &run) { return run.run == stamp; });
}

/** Returns whether the text is an event of a run of the request, or the beginning of one. */
bool isOwnEvent(const StreamEvent &event, int number, bool isWhole, const CallRecord &call,
                const SoakRecords &records)
{
    const std::vector<ReplicaRun> &runs = records.runsOf(call.requestId);
    return std::any_of(runs.begin(), runs.end(), [&](const ReplicaRun &run) {
        const QByteArray own =
                StreamEvent::textOf(call.requestId, run.run, number, call.events, call.padding);
        return isWhole ? event.text == own : (own + '\n').startsWith(event.text);
    });
}

const char *streamFaultOf(const CallRecord &call, const SoakRecords &records)
{
    const std::vector<StreamEvent> events = StreamEvent::parseBody(call.body);
    const bool endsWhole = call.body.endsWith("\n\n");
    int number = call.resumedAfter;
    for (const StreamEvent &event : events) {
        // Numbers out of order are a matter of the order.
        number = event.number > 0 ? event.number : number + 1;
        const bool isWhole = &event != &events.back() || endsWhole;
        if (!isOwnEvent(event, number, isWhole, call, records))
            return event.number > 0 && event.request != call.requestId
                           ? "another request's event"
                           : "bytes that are no event of the request";
    }
    return nullptr;
}

const char *plainFaultOf(const CallRecord &call)
{
    const QByteArray expected =
            call.requestId + ' ' + fieldValue(call.fields, "Lacewingmux-Server-Stamp") + '\n';
    if (call.end == CallEnd::Complete)
        return call.body != expected ? "another body" : nullptr;
    return expected.startsWith(call.body) ? nullptr : "a part of another body";
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
    if (hasTwoHeads(call))
        return "fields of another answer";
    if (!isSuccess(call.status))
        return nullptr;
    if (!isStampOfRun(call, records))
        return "no stamp of a run of the request";
    return isStream(call.kind) ? streamFaultOf(call, records) : plainFaultOf(call);
}

/** Returns the last bytes of the answer in words. */
QString endOf(const CallRecord &call)
{
    constexpr qsizetype most = 300;
    const QByteArray end = (call.body + call.strayBytes)
                                   .last(std::min(most, call.body.size() + call.strayBytes.size()));
    return QStringLiteral(", ends with ")
           + QString::fromLatin1(end).replace(QLatin1String("\n"), QLatin1String("\\n"));
}

} // namespace

std::vector<Violation> checkMixed(const SoakRecords &records)
{
    std::vector<Violation> found;
    for (const CallRecord &call : records.calls) {
        if (const char *fault = faultOf(call, records))
            found.push_back({"MIXED", call.requestId,
                             QLatin1String(fault) + QStringLiteral(": ") + records.describe(call)
                                     + endOf(call)});
    }
    return found;
}

} // namespace lacewingmux::soak

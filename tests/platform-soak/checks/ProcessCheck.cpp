#include "checks/ProcessCheck.h"

#include "checks/SoakRecords.h"

#include <algorithm>

namespace lacewingmux::soak {

namespace {

bool wasServed(const SoakRecords &records, CallKind kind)
{
    return std::any_of(records.calls.begin(), records.calls.end(), [kind](const CallRecord &call) {
        return call.kind == kind && call.status == 200 && call.end == CallEnd::Complete;
    });
}

} // namespace

std::vector<Violation> checkProcesses(const SoakRecords &records)
{
    std::vector<Violation> found;
    for (const QByteArray &process : records.endedProcesses)
        found.push_back({"FAULT", {}, QString::fromLatin1(process) + QStringLiteral(" ended")});
    for (const CallKind kind :
         {CallKind::Turn, CallKind::ResumableStream, CallKind::OnceOnly, CallKind::Repeatable}) {
        if (!wasServed(records, kind))
            found.push_back({"FAULT",
                             {},
                             QStringLiteral("no call of the kind %1 was answered")
                                     .arg(QLatin1String(nameOf(kind)))});
    }
    return found;
}

} // namespace lacewingmux::soak

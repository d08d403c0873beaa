#include "checks/LostCheck.h"

#include "checks/SoakRecords.h"

#include <algorithm>

namespace lacewingmux::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds crossingLimit{200};
constexpr milliseconds sentSoonAfterStop{3000};
constexpr milliseconds lastSixth = VmStop::limit * 5 / 6;

bool endedWithStop(const CallRecord &call, const std::vector<VmStop> &stops)
{
    return std::any_of(stops.begin(), stops.end(), [&call](const VmStop &stop) {
        return stop.vm == call.vm && call.sentAt <= stop.begin + sentSoonAfterStop
               && call.endedAt >= stop.begin + lastSixth
               && call.endedAt <= stop.begin + VmStop::limit + milliseconds(1000);
    });
}

bool isLost(const CallRecord &call, const SoakRecords &records)
{
    if (call.end == CallEnd::Complete || call.end == CallEnd::Abandoned || records.timeWasUp(call)
        || endedWithStop(call, records.stops))
        return false;
    if (call.status != 0 || !records.runsOf(call.requestId).empty())
        return true;
    return call.duration() > crossingLimit + records.longestDelay;
}

} // namespace

std::vector<Violation> checkLost(const SoakRecords &records)
{
    std::vector<Violation> found;
    for (const CallRecord &call : records.calls) {
        if (call.strayBytes.isEmpty() && isLost(call, records))
            found.push_back({"LOST", call.requestId, records.describe(call)});
    }
    return found;
}

} // namespace lacewingmux::soak

#include "checks/LostCheck.h"

#include "checks/SoakRecords.h"

#include <algorithm>

namespace lacewingmux::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds crossingLimit{200};
constexpr milliseconds sentSoonAfterStop{3000};
constexpr milliseconds lastSixth = VmDisruption::stopLimit * 5 / 6;
constexpr milliseconds contactTime{3000}; // after a pause, until a VM is in touch again

bool endedWithStop(const CallRecord &call, const VmDisruption &stop)
{
    return call.sentAt <= stop.begin + sentSoonAfterStop && call.endedAt >= stop.begin + lastSixth
           && call.endedAt <= stop.begin + VmDisruption::stopLimit + milliseconds(1000);
}

bool metPause(const CallRecord &call, const VmDisruption &pause)
{
    return call.endedAt >= pause.begin && call.sentAt <= pause.end + contactTime;
}

bool isExcused(const CallRecord &call, const std::vector<VmDisruption> &disruptions)
{
    return std::any_of(disruptions.begin(), disruptions.end(),
                       [&call](const VmDisruption &disruption) {
                           return disruption.vm == call.vm
                                  && (disruption.isStop ? endedWithStop(call, disruption)
                                                        : metPause(call, disruption));
                       });
}

bool isLost(const CallRecord &call, const SoakRecords &records)
{
    if (call.end == CallEnd::Complete || call.end == CallEnd::Abandoned || records.timeWasUp(call)
        || isExcused(call, records.disruptions))
        return false;
    const std::vector<ReplicaRun> runs = records.runsOf(call);
    if (std::any_of(runs.begin(), runs.end(), [](const ReplicaRun &run) { return run.isSpoilt; }))
        return false;
    if (call.status != 0 || !runs.empty())
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

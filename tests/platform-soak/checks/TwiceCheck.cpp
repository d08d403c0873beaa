#include "checks/TwiceCheck.h"

#include "checks/SoakRecords.h"

namespace lacewingmux::soak {

std::vector<Violation> checkTwice(const SoakRecords &records)
{
    std::vector<Violation> found;
    for (const CallRecord &call : records.calls) {
        if (!mayRunAgain(call.kind) && records.runsOf(call.requestId).size() > 1)
            found.push_back({"TWICE", call.requestId, records.describe(call)});
    }
    return found;
}

} // namespace lacewingmux::soak

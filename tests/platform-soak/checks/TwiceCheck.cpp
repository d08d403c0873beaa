#include "checks/TwiceCheck.h"

#include "checks/SoakRecords.h"

#include <algorithm>
#include <array>

namespace lacewingmux::soak {

namespace {

constexpr std::array promisesNoRun{408, 421, 429, 503};

} // namespace

std::vector<Violation> checkTwice(const SoakRecords &records)
{
    std::vector<Violation> found;
    for (const CallRecord &call : records.calls) {
        const std::size_t runs = records.runsOf(call.requestId).size();
        if (mayRunAgain(call.kind) || runs == 0)
            continue;
        if (runs > 1)
            found.push_back({"TWICE", call.requestId, records.describe(call)});
        if (std::find(promisesNoRun.begin(), promisesNoRun.end(), call.status)
            != promisesNoRun.end())
            found.push_back({"REFUSED", call.requestId, records.describe(call)});
    }
    return found;
}

} // namespace lacewingmux::soak

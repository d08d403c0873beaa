#include "checks/RefusedCheck.h"

#include "checks/SoakRecords.h"

#include <algorithm>
#include <array>

namespace lacewingmux::soak {

namespace {

constexpr std::array promisesNoRun{408, 421, 429, 503};

bool isPromise(int status)
{
    return std::find(promisesNoRun.begin(), promisesNoRun.end(), status) != promisesNoRun.end();
}

} // namespace

std::vector<Violation> checkRefused(const SoakRecords &records)
{
    std::vector<Violation> found;
    for (const CallRecord &call : records.calls) {
        if (!mayRunAgain(call.kind) && isPromise(call.status)
            && !records.runsOf(call.requestId).empty())
            found.push_back({"REFUSED", call.requestId, records.describe(call)});
    }
    return found;
}

} // namespace lacewingmux::soak

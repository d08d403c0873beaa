#include "lacewingmux_gateway/forwarding/QuotaRequest.h"

#include <algorithm>

namespace lacewingmux {

namespace {

// Fraction of the burst that only running programs may use: for a small team, about the calls of
// one program for every two that are running.
constexpr double newProgramReserve = 0.25;
constexpr double reservePerPriorityLevel = 0.12; // added for each level below the most urgent
constexpr int lowestPriority = 4;

} // namespace

double quotaReserve(bool startsProgram, int priority)
{
    if (!startsProgram)
        return 0;
    return newProgramReserve + reservePerPriorityLevel * std::clamp(priority, 0, lowestPriority);
}

} // namespace lacewingmux

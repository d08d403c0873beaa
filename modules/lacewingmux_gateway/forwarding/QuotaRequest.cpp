#include "lacewingmux_gateway/forwarding/QuotaRequest.h"

#include <algorithm>

namespace lacewingmux {

namespace {

// What programs under way may still draw while no new one begins: about the calls of one program
// for each two that a small team has under way.
constexpr double reserveForPrograms = 0.25;
constexpr double reserveForRank = 0.12; // on top, for each rank of priority below the first
constexpr int lowestRank = 4;

} // namespace

double quotaReserve(bool startsProgram, int priority)
{
    if (!startsProgram)
        return 0;
    return reserveForPrograms + reserveForRank * std::clamp(priority, 0, lowestRank);
}

} // namespace lacewingmux

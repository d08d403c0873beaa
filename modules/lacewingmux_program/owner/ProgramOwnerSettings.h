#pragma once

#include <chrono>

namespace lacewingmux {

/** Retention times and intervals of a ProgramOwner. */
struct ProgramOwnerSettings
{
    std::chrono::seconds endedProgramRetention{900}; ///< how long an ended program remains readable
    std::chrono::hours claimRetention{24};           ///< how long a finished claim is kept
    std::chrono::seconds unloadAfter{30};         ///< idle time after which only the entries stay
    std::chrono::milliseconds sweepInterval{500}; ///< interval between checks for expired items
};

} // namespace lacewingmux

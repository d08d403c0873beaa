#pragma once

#include <chrono>

namespace lacewingmux {

/** The times that a ProgramOwner works with. */
struct ProgramOwnerSettings
{
    std::chrono::seconds endedProgramRetention{900}; ///< how long an ended program can be read
    std::chrono::hours claimRetention{24};           ///< how long an idempotency key is remembered
    std::chrono::seconds unloadAfter{30}; ///< without use, a program keeps its entries alone
    std::chrono::milliseconds sweepInterval{500}; ///< between two looks for what has expired
};

} // namespace lacewingmux

#pragma once

#include "allowance/support/AllowanceFleet.h"

#include <QString>

#include <cstdint>
#include <string>

namespace lacewingmux::test {

/** The results of a fault schedule. */
struct ScheduleOutcome
{
    double largestExcess = -1e9;        ///< over all teams and windows; above 0 is over-admission
    std::uint64_t mostPartsInUse = 0;   ///< of one item over all zones, at any step
    std::uint64_t mostPartsInStore = 0; ///< of one item in its record, at any step
    std::uint64_t fewestPartsInStore = partsPerItem;
    std::size_t admitted = 0;
    std::size_t faults = 0;

    [[nodiscard]] bool holds() const
    {
        return this->largestExcess <= 1e-6 && this->mostPartsInUse <= partsPerItem
               && this->mostPartsInStore == partsPerItem
               && this->fewestPartsInStore == partsPerItem;
    }

    [[nodiscard]] std::string describe() const;
};

/**
    Overloads a fleet under a seeded random schedule of kills, pauses, network partitions, broken
    links, lost store replies, store outages and share transfers, and checks the limits in every
    window.
*/
ScheduleOutcome runFaultSchedule(std::uint64_t seed, const FleetFaults &faults);

} // namespace lacewingmux::test

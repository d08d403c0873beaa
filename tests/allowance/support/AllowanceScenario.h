#pragma once

#include "allowance/support/AdmissionEvents.h"
#include "allowance/support/AllowanceFleet.h"

#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux::test {

/** What happens while a scenario runs. */
enum class Disturbance : std::uint8_t { None, VmLoss, ZoneCut, Flood, DemandShift };

/** A workload over a fleet in virtual time. */
struct AllowanceScenario
{
    Disturbance disturbance = Disturbance::None;
    int zones = 3;
    int vmsPerZone = 3;
    std::chrono::seconds length{60};
    double load = 0.7; ///< of each team's rate
    std::uint64_t seed = 1;
};

/** How shares are used. */
struct SharePolicy
{
    QString name;
    bool borrowing = true;
    ShareDecision decision = &DemandDrivenShares::decide;
};

/** What a run gave, over the teams that kept to their rate and for the one that flooded. */
struct ScenarioResult
{
    BucketComparison conforming;
    BucketComparison flooding;
    double largestExcess = 0; ///< over all teams and windows; positive means over-admission
    double worstTeam = 0;     ///< largest part of wrongful refusals of one team
    std::int64_t storeCalls = 0;
    double secondsToRebalance =
            -1; ///< after a shift, until the share covers the demand; -1 = never
};

/** The policies to compare, the naive one first. */
std::vector<SharePolicy> sharePolicies();

/** Runs the scenario under the policy. The same seed gives the same arrivals for each policy. */
ScenarioResult runScenario(const AllowanceScenario &scenario, const SharePolicy &policy);

} // namespace lacewingmux::test

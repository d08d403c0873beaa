#pragma once

#include "allowance/support/AdmissionEvents.h"
#include "allowance/support/AllowanceFleet.h"

#include <QString>

#include <cstdint>
#include <vector>

namespace lacewingmux::test {

/** The disturbance injected during a scenario. */
enum class Disturbance : std::uint8_t { None, VmLoss, ZoneCut, Flood, DemandShift };

/** A workload on a fleet in virtual time. */
struct AllowanceScenario
{
    Disturbance disturbance = Disturbance::None;
    int zones = 3;
    int vmsPerZone = 3;
    std::chrono::seconds length{60};
    double load = 0.7; ///< fraction of each team's rate
    std::uint64_t seed = 1;
};

/** A share policy under comparison. */
struct SharePolicy
{
    QString name;
    bool borrowing = true;
    ShareDecision decision = &DemandDrivenShares::decide;
};

/** The results of a run, separately for teams within their rate and for the flooding team. */
struct ScenarioResult
{
    BucketComparison conforming;
    BucketComparison flooding;
    double largestExcess = 0; ///< over all teams and windows; above 0 is over-admission
    double worstTeam = 0;     ///< highest fraction of wrongful refusals of one team
    std::int64_t storeCalls = 0;
    double secondsToRebalance = -1; ///< from the demand shift until the share covers it; -1 = never
};

/** Returns the policies to compare, the baseline first. */
std::vector<SharePolicy> sharePolicies();

/** Runs the scenario with the policy. The same seed gives the same arrivals for every policy. */
ScenarioResult runScenario(const AllowanceScenario &scenario, const SharePolicy &policy);

} // namespace lacewingmux::test

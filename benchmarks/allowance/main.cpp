#include "allowance/support/AllowanceScenario.h"

#include <cstdio>
#include <cstdlib>

// Measures wrongful refusals and over-admission of the allowances in virtual time, for each share
// policy with the same seeded arrivals. Usage: measure_allowance [seeds] [seconds]

using namespace lacewingmux::test;

namespace {

struct NamedDisturbance
{
    Disturbance disturbance;
    const char *name;
};

constexpr NamedDisturbance disturbances[] = {{Disturbance::None, "calm, uneven zones"},
                                             {Disturbance::VmLoss, "loss of a VM"},
                                             {Disturbance::ZoneCut, "zone cut off"},
                                             {Disturbance::Flood, "one team at 5 x its rate"},
                                             {Disturbance::DemandShift, "demand moves zone"}};

/** Sums and maxima over the seeds. */
struct Summary
{
    double wrongfulSum = 0;
    double wrongfulMost = 0;
    double worstTeam = 0;
    double unreachable = 0;
    double requests = 0;
    double excess = -1e9;
    double floodAdmitted = 0;
    double floodBaseline = 0;
    double storeCalls = 0;
    double rebalanceSum = 0;
    int rebalanced = 0;
};

void add(Summary &summary, const ScenarioResult &result)
{
    const double requests = static_cast<double>(result.conforming.requests);
    summary.wrongfulSum += static_cast<double>(result.conforming.wrongful);
    summary.wrongfulMost = std::max(summary.wrongfulMost,
                                    static_cast<double>(result.conforming.wrongful) / requests);
    summary.worstTeam = std::max(summary.worstTeam, result.worstTeam);
    summary.unreachable += static_cast<double>(result.conforming.unreachable);
    summary.requests += requests;
    summary.excess = std::max(summary.excess, result.largestExcess);
    summary.floodAdmitted += static_cast<double>(result.flooding.admitted);
    summary.floodBaseline += static_cast<double>(result.flooding.baselineAdmitted);
    summary.storeCalls += static_cast<double>(result.storeCalls);
    if (result.secondsToRebalance < 0)
        return;
    summary.rebalanceSum += result.secondsToRebalance;
    ++summary.rebalanced;
}

void print(const QString &policy, const Summary &summary, int seeds, bool shifts)
{
    std::printf("  %-24s %7.3f%% %9.3f%% %8.3f%% %10.3f%% %9.2f %9.1f", qPrintable(policy),
                100 * summary.wrongfulSum / summary.requests, 100 * summary.wrongfulMost,
                100 * summary.worstTeam, 100 * summary.unreachable / summary.requests,
                summary.excess, summary.storeCalls / seeds);
    if (summary.floodBaseline > 0)
        std::printf("   flooding team: %.3f of one bucket",
                    summary.floodAdmitted / summary.floodBaseline);
    if (shifts && summary.rebalanced > 0)
        std::printf("   share follows after %.1f s", summary.rebalanceSum / summary.rebalanced);
    std::printf("\n");
}

void measure(const AllowanceScenario &base, const char *size, int seeds)
{
    std::printf("\n%s, %d seeds, %lld s each\n", size, seeds,
                static_cast<long long>(base.length.count()));
    for (const NamedDisturbance &named : disturbances) {
        std::printf("%-26s %8s %10s %9s %11s %9s %9s\n", named.name, "wrongful", "most/seed",
                    "worst team", "unreachable", "excess", "calls");
        for (const SharePolicy &policy : sharePolicies()) {
            Summary summary;
            for (int seed = 1; seed <= seeds; ++seed) {
                AllowanceScenario scenario = base;
                scenario.disturbance = named.disturbance;
                scenario.seed = static_cast<std::uint64_t>(seed);
                add(summary, runScenario(scenario, policy));
            }
            print(policy.name, summary, seeds, named.disturbance == Disturbance::DemandShift);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 10;
    AllowanceScenario scenario;
    scenario.length = std::chrono::seconds(argc > 2 ? std::atoi(argv[2]) : 90);
    measure(scenario, "3 zones of 3 VMs", seeds);
    scenario.zones = 4;
    scenario.vmsPerZone = 2;
    measure(scenario, "4 zones of 2 VMs", seeds);
    return 0;
}

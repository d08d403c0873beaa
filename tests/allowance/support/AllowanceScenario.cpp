#include "allowance/support/AllowanceScenario.h"

#include <algorithm>
#include <array>

namespace lacewingmux::test {

namespace {

using namespace std::chrono_literals;

struct TeamSize
{
    const char *name;
    double rate;
    double burst;
};

constexpr std::array<TeamSize, 8> teamSizes{{{"large-1", 80, 80},
                                             {"large-2", 60, 60},
                                             {"middle-1", 20, 20},
                                             {"middle-2", 10, 10},
                                             {"middle-3", 10, 10},
                                             {"small-1", 5, 10},
                                             {"small-2", 5, 10},
                                             {"small-3", 2, 4}}};
constexpr std::size_t floodingTeam = 1;
constexpr double floodFactor = 5;
constexpr double mainZonePart = 0.7;

FleetPlan planOf(const AllowanceScenario &scenario, const SharePolicy &policy)
{
    FleetPlan plan;
    plan.zones = scenario.zones;
    plan.vmsPerZone = scenario.vmsPerZone;
    plan.borrowing = policy.borrowing;
    plan.decision = policy.decision;
    plan.seed = scenario.seed;
    for (const TeamSize &team : teamSizes) {
        Allowance allowance;
        allowance.plan = QString::fromLatin1(team.name);
        allowance.requestsPerSecond = team.rate;
        allowance.burstRequests = team.burst;
        plan.allowances.push_back(allowance);
    }
    return plan;
}

/** Generates Poisson arrivals of each team, most of them in the team's main zone. */
class Workload
{
public:
    Workload(AllowanceFleet &drivenFleet, const AllowanceScenario &ownScenario)
        : fleet(drivenFleet)
        , scenario(ownScenario)
        , random(ownScenario.seed * 7919)
    {
        for (std::size_t team = 0; team < teamSizes.size(); ++team)
            this->nextArrival.push_back(this->arrivalGap(team));
    }

    void run()
    {
        for (std::chrono::milliseconds elapsed{0}; elapsed < this->scenario.length;
             elapsed += 1ms) {
            this->injectDisturbance(elapsed);
            const double seconds = std::chrono::duration<double>(elapsed).count();
            for (std::size_t team = 0; team < teamSizes.size(); ++team) {
                for (; this->nextArrival[team] <= seconds;
                     this->nextArrival[team] += this->arrivalGap(team))
                    this->sendArrival(team, elapsed);
            }
            this->fleet.advance(1ms);
            if (this->rebalancedAfter < 0 && elapsed >= this->scenario.length / 2
                && this->coversShiftedDemand())
                this->rebalancedAfter =
                        seconds - std::chrono::duration<double>(this->scenario.length).count() / 2;
        }
        this->fleet.advance(1s);
    }

    /** Seconds from the shift until the new main zone's share covers its demand, or -1. */
    double rebalancedAfter = -1;

private:
    /** Returns whether the largest team's share of the new main zone covers its demand. */
    bool coversShiftedDemand() const
    {
        const ShareItem item = ShareItem::team(QString::fromLatin1(teamSizes.front().name));
        const QString zone = AllowanceFleet::zoneName(1 % this->scenario.zones);
        const auto running = this->fleet.running();
        const SharesByZone *shares =
                this->fleet.vms.at(running.front())->rebalancer->records().find(item);
        const double demand =
                this->scenario.load * (mainZonePart + (1 - mainZonePart) / this->scenario.zones);
        return shares != nullptr && shares->at(zone).counters.fraction() >= demand;
    }

    double arrivalGap(std::size_t team)
    {
        const bool floods =
                this->scenario.disturbance == Disturbance::Flood && team == floodingTeam;
        const double rate = teamSizes.at(team).rate * (floods ? floodFactor : this->scenario.load);
        return std::exponential_distribution<double>(rate)(this->random);
    }

    void sendArrival(std::size_t team, std::chrono::milliseconds elapsed)
    {
        const bool shifted = this->scenario.disturbance == Disturbance::DemandShift
                             && elapsed >= this->scenario.length / 2;
        const int mainZone = static_cast<int>(team + (shifted ? 1 : 0)) % this->scenario.zones;
        const bool toMain =
                std::uniform_real_distribution<double>(0, 1)(this->random) < mainZonePart;
        const int zone =
                toMain ? mainZone : static_cast<int>(this->random() % this->scenario.zones);
        const auto candidates = this->fleet.running(zone);
        const std::uint64_t pick = this->random();
        if (!candidates.empty())
            this->fleet.request(candidates[pick % candidates.size()],
                                QString::fromLatin1(teamSizes.at(team).name));
    }

    void injectDisturbance(std::chrono::milliseconds elapsed)
    {
        const auto third =
                std::chrono::duration_cast<std::chrono::milliseconds>(this->scenario.length / 3);
        if (this->scenario.disturbance == Disturbance::VmLoss && elapsed == third)
            this->fleet.kill(this->random() % this->fleet.vms.size());
        if (this->scenario.disturbance == Disturbance::ZoneCut && elapsed == third)
            this->fleet.cutZone(static_cast<int>(this->random() % this->scenario.zones));
        if (this->scenario.disturbance == Disturbance::ZoneCut && elapsed == 2 * third)
            this->fleet.healZones();
    }

    AllowanceFleet &fleet;
    const AllowanceScenario &scenario;
    std::mt19937_64 random;
    std::vector<double> nextArrival; ///< seconds from the start, by team
};

void add(BucketComparison &sum, const BucketComparison &part)
{
    sum.requests += part.requests;
    sum.admitted += part.admitted;
    sum.baselineAdmitted += part.baselineAdmitted;
    sum.wrongful += part.wrongful;
    sum.unreachable += part.unreachable;
}

} // namespace

std::vector<SharePolicy> sharePolicies()
{
    return {{QStringLiteral("equal static shares"), false, &StaticShares::decide},
            {QStringLiteral("movement"), false, &DemandDrivenShares::decide},
            {QStringLiteral("borrowing"), true, &StaticShares::decide},
            {QStringLiteral("movement and borrowing"), true, &DemandDrivenShares::decide}};
}

ScenarioResult runScenario(const AllowanceScenario &scenario, const SharePolicy &policy)
{
    AllowanceFleet fleet(planOf(scenario, policy));
    Workload workload(fleet, scenario);
    workload.run();

    ScenarioResult result;
    result.secondsToRebalance = workload.rebalancedAfter;
    result.largestExcess = -1e9;
    for (std::size_t team = 0; team < teamSizes.size(); ++team) {
        const QString name = QString::fromLatin1(teamSizes[team].name);
        const BucketLimits limits{teamSizes[team].rate, teamSizes[team].burst};
        const BucketComparison compared = compareWithBucket(fleet.events, name, limits);
        result.largestExcess =
                std::max(result.largestExcess, largestExcess(fleet.events, name, limits));
        if (scenario.disturbance == Disturbance::Flood && team == floodingTeam) {
            add(result.flooding, compared);
            continue;
        }
        add(result.conforming, compared);
        result.worstTeam =
                std::max(result.worstTeam, static_cast<double>(compared.wrongful)
                                                   / std::max<double>(1, compared.requests));
    }
    for (const auto &vm : fleet.vms) {
        if (vm)
            result.storeCalls += fleet.storeServer->calls(vm->incarnation.vm);
    }
    return result;
}

} // namespace lacewingmux::test

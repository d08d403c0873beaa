#include "allowance/support/FaultSchedule.h"

#include <algorithm>
#include <sstream>

namespace lacewingmux::test {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds scheduleLength{25000};
constexpr std::chrono::milliseconds faultInterval{250};
constexpr std::chrono::milliseconds requestInterval{4};

struct TeamLimits
{
    const char *name;
    BucketLimits limits;
};

constexpr TeamLimits teams[] = {{"small", {10, 6}}, {"large", {40, 60}}, {"deep", {8, 60}}};

FleetPlan planFor(std::uint64_t seed, const FleetFaults &faults)
{
    FleetPlan plan;
    plan.seed = seed;
    plan.faults = faults;
    for (const TeamLimits &team : teams) {
        Allowance allowance;
        allowance.plan = QString::fromLatin1(team.name);
        allowance.requestsPerSecond = team.limits.tokensPerSecond;
        allowance.burstRequests = team.limits.burstTokens;
        plan.allowances.push_back(allowance);
    }
    if (seed % 2 == 0) {
        plan.decision = &StaticShares::decide;
        return plan;
    }
    // Transfers shares at random, far more often than the demand-driven policy.
    auto random = std::make_shared<std::mt19937_64>(seed);
    plan.decision = [random](const RebalancingState &situation) -> std::optional<ShareTransfer> {
        if ((*random)() % 3 != 0 || situation.zones.size() < 2)
            return std::nullopt;
        const std::size_t target = (*random)() % situation.zones.size();
        return ShareTransfer{situation.zones[target].zone, situation.ownParts / 3};
    };
    return plan;
}

/** Injects random faults into a fleet. */
class FaultInjector
{
public:
    explicit FaultInjector(AllowanceFleet &drivenFleet)
        : fleet(drivenFleet)
    { }

    void injectOne()
    {
        switch (this->fleet.random() % 8) {
        case 0:
            this->killOne();
            break;
        case 1:
        case 2:
            this->pauseOne();
            break;
        case 3:
            this->resumeAll();
            break;
        case 4:
            this->fleet.cutZone(static_cast<int>(this->fleet.random() % 3));
            break;
        case 5:
            this->fleet.healZones();
            this->fleet.storeServer->setDown(false);
            break;
        case 6:
            this->breakLinks();
            break;
        default:
            this->fleet.storeServer->loseWriteReplies(2);
            this->fleet.storeServer->setDown(this->fleet.random() % 3 == 0);
            break;
        }
    }

private:
    std::size_t pick(const std::vector<std::size_t> &candidates)
    {
        return candidates[this->fleet.random() % candidates.size()];
    }

    void killOne()
    {
        const auto candidates = this->fleet.running(static_cast<int>(this->fleet.random() % 3));
        if (candidates.size() > 1)
            this->fleet.kill(this->pick(candidates));
    }

    void pauseOne()
    {
        const auto candidates = this->fleet.running(static_cast<int>(this->fleet.random() % 3));
        if (candidates.size() > 1)
            this->fleet.pause(this->pick(candidates));
    }

    void resumeAll()
    {
        for (std::size_t vm = 0; vm < this->fleet.vms.size(); ++vm) {
            if (this->fleet.vms[vm] && this->fleet.vms[vm]->paused)
                this->fleet.resume(vm);
        }
    }

    void breakLinks()
    {
        const auto running = this->fleet.running();
        for (int count = 0; count < 6; ++count) {
            this->fleet.network.breakLink(this->fleet.vms[this->pick(running)]->incarnation.vm,
                                          this->fleet.vms[this->pick(running)]->incarnation.vm);
        }
    }

    AllowanceFleet &fleet;
};

void checkShares(const AllowanceFleet &fleet, ScheduleOutcome &outcome)
{
    for (const TeamLimits &team : teams) {
        const ShareItem item = ShareItem::team(QString::fromLatin1(team.name));
        const std::uint64_t stored = fleet.partsInStore(item);
        outcome.mostPartsInUse = std::max(outcome.mostPartsInUse, fleet.partsInUse(item));
        outcome.mostPartsInStore = std::max(outcome.mostPartsInStore, stored);
        outcome.fewestPartsInStore = std::min(outcome.fewestPartsInStore, stored);
    }
}

} // namespace

std::string ScheduleOutcome::describe() const
{
    std::ostringstream text;
    text << "excess " << this->largestExcess << ", parts in use " << this->mostPartsInUse
         << ", parts in store " << this->fewestPartsInStore << " to " << this->mostPartsInStore
         << ", admitted " << this->admitted << ", faults " << this->faults;
    return text.str();
}

ScheduleOutcome runFaultSchedule(std::uint64_t seed, const FleetFaults &faults)
{
    AllowanceFleet fleet(planFor(seed, faults));
    FaultInjector injector(fleet);
    ScheduleOutcome outcome;
    for (std::chrono::milliseconds elapsed{0}; elapsed < scheduleLength;
         elapsed += requestInterval) {
        if (elapsed % faultInterval == 0ms) {
            injector.injectOne();
            ++outcome.faults;
        }
        for (const std::size_t vm : fleet.running())
            fleet.request(vm, QString::fromLatin1(teams[fleet.random() % std::size(teams)].name));
        fleet.advance(requestInterval);
        checkShares(fleet, outcome);
    }
    for (const TeamLimits &team : teams) {
        outcome.largestExcess =
                std::max(outcome.largestExcess,
                         largestExcess(fleet.events, QString::fromLatin1(team.name), team.limits));
    }
    outcome.admitted = static_cast<std::size_t>(
            std::count_if(fleet.events.begin(), fleet.events.end(),
                          [](const AdmissionEvent &event) { return event.admitted; }));
    return outcome;
}

} // namespace lacewingmux::test

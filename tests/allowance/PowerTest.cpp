#include "allowance/support/AllowanceFleet.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace lacewingmux;
using namespace lacewingmux::test;
using namespace std::chrono_literals;

namespace {

constexpr double capWatts = 6000;
constexpr std::chrono::milliseconds longestCallTimeout{3000};

/** One sequence on a replica, which continues to run when the VM that started it is killed. */
struct Sequence
{
    TimerService::SteadyTime startedAt;
    TimerService::SteadyTime endsAt;
    double watts = 0;
};

/** Returns the highest total power at any time. */
double highestPower(const std::vector<Sequence> &sequences)
{
    struct Change
    {
        TimerService::SteadyTime at;
        double watts;
    };
    std::vector<Change> changes;
    for (const Sequence &sequence : sequences) {
        changes.push_back({sequence.startedAt, sequence.watts});
        changes.push_back({sequence.endsAt, -sequence.watts});
    }
    std::sort(changes.begin(), changes.end(), [](const Change &left, const Change &right) {
        return left.at != right.at ? left.at < right.at : left.watts < right.watts;
    });
    double watts = 0;
    double highest = 0;
    for (const Change &change : changes) {
        watts += change.watts;
        highest = std::max(highest, watts);
    }
    return highest;
}

/** Starts sequences continuously under random kills, pauses and broken links. */
class PowerSchedule
{
public:
    PowerSchedule(std::uint64_t seed, std::chrono::milliseconds callLength)
        : fleet(planFor(seed))
        , length(callLength)
    { }

    std::vector<Sequence> run()
    {
        for (int step = 0; step < 6000; ++step) {
            if (step % 400 == 399)
                this->injectFault();
            for (const std::size_t vm : this->fleet.running())
                this->startOne(vm);
            this->fleet.advance(5ms);
            this->endDue();
        }
        return this->sequences;
    }

private:
    static FleetPlan planFor(std::uint64_t seed)
    {
        FleetPlan plan;
        plan.zones = 2;
        plan.vmsPerZone = 3;
        plan.seed = seed;
        plan.sitePowerCapWatts = capWatts;
        Allowance allowance;
        allowance.plan = QStringLiteral("team");
        allowance.requestsPerSecond = 1;
        allowance.callTimeout = longestCallTimeout;
        plan.allowances = {allowance};
        return plan;
    }

    void startOne(std::size_t vm)
    {
        const double watts = 100 + static_cast<double>(this->fleet.random() % 300);
        this->fleet.vms[vm]->power->reserve(watts, [this, vm, watts](auto reservation) {
            if (!reservation)
                return;
            const auto now = this->fleet.timers.now();
            const auto endsAt = now + this->length * (1 + this->fleet.random() % 10) / 10;
            this->sequences.push_back({now, endsAt, watts});
            this->running.push_back({vm, endsAt, std::move(*reservation)});
        });
    }

    void endDue()
    {
        const auto now = this->fleet.timers.now();
        const auto due = std::stable_partition(
                this->running.begin(), this->running.end(), [this, now](const Running &entry) {
                    const FleetVm *vm = this->fleet.vms[entry.vm].get();
                    return vm != nullptr && (vm->paused || entry.endsAt > now);
                });
        // Moved out first, because releasing power starts waiting sequences, which changes running.
        std::vector<Running> ended(std::make_move_iterator(due),
                                   std::make_move_iterator(this->running.end()));
        this->running.erase(due, this->running.end());
    }

    void injectFault()
    {
        const auto candidates = this->fleet.running(static_cast<int>(this->fleet.random() % 2));
        const std::size_t vm = candidates[this->fleet.random() % candidates.size()];
        switch (this->fleet.random() % 4) {
        case 0:
            if (candidates.size() > 1)
                this->fleet.kill(vm);
            break;
        case 1:
            if (candidates.size() > 1)
                this->fleet.pause(vm);
            break;
        case 2:
            for (std::size_t other = 0; other < this->fleet.vms.size(); ++other) {
                if (this->fleet.vms[other] && this->fleet.vms[other]->paused)
                    this->fleet.resume(other);
            }
            break;
        default:
            this->fleet.network.breakLink(this->fleet.vms[candidates.front()]->incarnation.vm,
                                          this->fleet.vms[candidates.back()]->incarnation.vm);
        }
    }

    struct Running
    {
        std::size_t vm;
        TimerService::SteadyTime endsAt;
        PowerReservation reservation;
    };

    AllowanceFleet fleet;
    std::chrono::milliseconds length;
    std::vector<Sequence> sequences;
    std::vector<Running> running;
};

} // namespace

Test(Power, neverExceedsTheCapThroughKillsPausesAndBrokenLinks)
{
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        const auto sequences = PowerSchedule(seed, longestCallTimeout).run();
        cr_expect_leq(highestPower(sequences), capWatts + 1e-3, "seed %llu: %f W",
                      static_cast<unsigned long long>(seed), highestPower(sequences));
        cr_expect_gt(highestPower(sequences), capWatts / 3, "seed %llu: %f W",
                     static_cast<unsigned long long>(seed), highestPower(sequences));
    }
}

Test(Power, theCheckDetectsSequencesThatOutliveTheLongestCall)
{
    double highest = 0;
    for (std::uint64_t seed = 1; seed <= 16; ++seed)
        highest =
                std::max(highest, highestPower(PowerSchedule(seed, longestCallTimeout * 10).run()));
    cr_assert_gt(highest, capWatts);
}

Test(Power, withoutACapEveryReservationSucceeds)
{
    FleetPlan plan;
    plan.allowances = {Allowance()};
    AllowanceFleet fleet(plan);
    bool reserved = false;
    fleet.vms[0]->power->reserve(
            1e9, [&reserved](auto reservation) { reserved = reservation.has_value(); });
    cr_assert(reserved);
}

Test(Power, powerOfADepartedVmIsReclaimedAfterTheLongestRun)
{
    PowerAllowance allowance;
    const PowerAllowance::Time start{1h};
    const VmIncarnation first{QStringLiteral("a"), QStringLiteral("z"), 1};
    const VmIncarnation second{QStringLiteral("b"), QStringLiteral("z"), 1};
    allowance.setCap(1000);
    allowance.mergeShare({partsPerItem, 0, 0});
    cr_assert_float_eq(allowance.request(first, 1, 800, start), 800, 1e-9);
    allowance.markDeparted(first, start);
    cr_assert_not(allowance.reclaimDeparted(10s, start + 9s));
    cr_assert_float_eq(allowance.request(second, 1, 800, start + 9s), 200, 1e-9);
    cr_assert(allowance.reclaimDeparted(10s, start + 10s));
    cr_assert_float_eq(allowance.request(second, 2, 800, start + 10s), 800, 1e-9);
    cr_assert_float_eq(allowance.request(second, 1, 100, start + 10s), 800, 1e-9, "an old request");
}

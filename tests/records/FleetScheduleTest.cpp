#include "simulation/FleetSchedule.h"

#include <criterion/criterion.h>

#include <cstdlib>

using namespace lacewingmux;

namespace {

constexpr std::uint64_t defaultSeeds = 60;

/** Returns the number of seeds to run: LACEWINGMUX_SEEDS, or a default for CI. */
std::uint64_t seedCount()
{
    const char *text = std::getenv("LACEWINGMUX_SEEDS");
    return text == nullptr ? defaultSeeds : std::strtoull(text, nullptr, 10);
}

void runSeeds(std::uint64_t first, std::uint64_t count, int recordsVms = 3)
{
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        FleetSchedule schedule(seed, recordsVms);
        const std::string violation = schedule.run();
        cr_assert(violation.empty(), "seed %llu: %s", static_cast<unsigned long long>(seed),
                  violation.c_str());
    }
}

} // namespace

Test(fleet_schedule, keeps_turns_budgets_and_quotas_1)
{
    runSeeds(1, seedCount() / 4);
}

Test(fleet_schedule, keeps_turns_budgets_and_quotas_2)
{
    runSeeds(100001, seedCount() / 4);
}

Test(fleet_schedule, keeps_turns_budgets_and_quotas_3)
{
    runSeeds(200001, seedCount() / 4);
}

Test(fleet_schedule, keeps_turns_budgets_and_quotas_4)
{
    runSeeds(300001, seedCount() / 4);
}

Test(fleet_schedule, keeps_turns_budgets_and_quotas_in_two_groups_1)
{
    runSeeds(400001, seedCount() / 4, 6);
}

Test(fleet_schedule, keeps_turns_budgets_and_quotas_in_two_groups_2)
{
    runSeeds(500001, seedCount() / 4, 6);
}

// Two of three members may be silent at once, so that turns are stored late.
Test(fleet_schedule, keeps_turns_budgets_and_quotas_while_members_are_silent_for_a_moment)
{
    int lateTurns = 0;
    for (std::uint64_t seed = 600001; seed < 600001 + seedCount() / 4; ++seed) {
        FleetSchedule schedule(seed);
        schedule.addSilences();
        const std::string violation = schedule.run();
        cr_assert(violation.empty(), "seed %llu: %s", static_cast<unsigned long long>(seed),
                  violation.c_str());
        lateTurns += schedule.lateTurns();
    }
    cr_assert_gt(lateTurns, 0);
}

// Members are lost for good, and new ones take their places before and after they have copied.
Test(fleet_schedule, keeps_turns_budgets_and_quotas_while_members_are_replaced)
{
    for (std::uint64_t seed = 700001; seed < 700001 + seedCount() / 4; ++seed) {
        FleetSchedule schedule(seed, seed % 2 == 0 ? 3 : 6);
        schedule.addReplacements();
        const std::string violation = schedule.run();
        cr_assert(violation.empty(), "seed %llu: %s", static_cast<unsigned long long>(seed),
                  violation.c_str());
    }
}

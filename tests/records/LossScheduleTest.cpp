#include "simulation/LossSchedule.h"

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

void runSeeds(std::uint64_t first, int recordsVms, bool hasRetirements = false)
{
    for (std::uint64_t seed = first; seed < first + seedCount(); ++seed) {
        LossSchedule schedule(seed, recordsVms);
        if (hasRetirements)
            schedule.addRetirements();
        const std::string violation = schedule.run();
        cr_assert(violation.empty(), "seed %llu: %s", static_cast<unsigned long long>(seed),
                  violation.c_str());
    }
}

} // namespace

// Guards against turns that are called unknown, and budgets that are spent again, on the word of
// members that were down, empty or cut off when these were kept by others.
Test(loss_schedule, keeps_turns_and_budgets_while_losses_overlap_1)
{
    runSeeds(1, 3);
}

Test(loss_schedule, keeps_turns_and_budgets_while_losses_overlap_2)
{
    runSeeds(100001, 3);
}

Test(loss_schedule, keeps_turns_and_budgets_in_a_group_of_four)
{
    runSeeds(200001, 4);
}

Test(loss_schedule, keeps_turns_and_budgets_in_a_group_of_five)
{
    runSeeds(300001, 5);
}

// Guards against the same while records VMs are emptied for good as well.
Test(loss_schedule, keeps_turns_and_budgets_beside_retirements_1)
{
    runSeeds(400001, 3, true);
}

Test(loss_schedule, keeps_turns_and_budgets_beside_retirements_2)
{
    runSeeds(500001, 4, true);
}

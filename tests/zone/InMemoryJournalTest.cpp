#include "lacewingmux_zone/journal/InMemoryJournal.h"
#include "lacewingmux_core/time/ManualTimerService.h"

#include <criterion/criterion.h>

#include <vector>

using namespace lacewingmux;

namespace {

const AggregateId program(AggregateKind::Program, QStringLiteral("north"), QStringLiteral("p1"));

} // namespace

Test(InMemoryJournal, commitsInOrderOnTheNextTurnOnly)
{
    ManualTimerService timers;
    InMemoryJournal journal(timers);
    std::vector<int> order;
    journal.append(program, "a", [&order](AppendOutcome) { order.push_back(1); });
    journal.append(program, "b", [&order](AppendOutcome) { order.push_back(2); });
    cr_assert(order.empty());
    timers.runPosted();
    cr_assert((order == std::vector<int>{1, 2}));
    cr_assert((journal.records(program.slot()).entries(program)
               == std::vector<QByteArray>{"a", "b"}));
}

Test(InMemoryJournal, stepsDownWhatIsNotCommitted)
{
    ManualTimerService timers;
    InMemoryJournal journal(timers);
    std::vector<AppendOutcome> outcomes;
    std::vector<SlotIndex> deactivated;
    journal.addDeactivationHandler([&](SlotIndex slot) { deactivated.push_back(slot); });
    journal.append(program, "a", [&](AppendOutcome outcome) { outcomes.push_back(outcome); });
    journal.stepDown(program.slot());
    journal.append(program, "b", [&](AppendOutcome outcome) { outcomes.push_back(outcome); });
    timers.runPosted();
    cr_assert_eq(outcomes.size(), 2U);
    for (const AppendOutcome outcome : outcomes)
        cr_assert(outcome == AppendOutcome::SteppedDown);
    cr_assert((deactivated == std::vector<SlotIndex>{program.slot()}));
    cr_assert(journal.status(program.slot()) == SlotStatus::NotOwner);
    cr_assert(journal.records(program.slot()).entries(program).empty());
}

Test(InMemoryJournal, givesTheRecordsToActivationHandlers)
{
    ManualTimerService timers;
    InMemoryJournal journal(timers);
    journal.append(program, "a", {});
    journal.replace(program, "b", {});
    timers.runPosted();
    std::vector<AggregateRecord> seen;
    journal.addActivationHandler([&](SlotIndex slot, const std::vector<AggregateRecord> &records) {
        if (slot == program.slot())
            seen = records;
    });
    journal.stepDown(program.slot());
    journal.activate(program.slot());
    cr_assert_eq(seen.size(), 1U);
    cr_assert((seen.front().entries == std::vector<QByteArray>{"b"}));
}

#include "simulation/RecordsFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a turn that goes on from a text that its caller never got whole: its caller sends
// a turn again with the same id, and the two runs differ.

namespace {

constexpr milliseconds callTime{1500};
constexpr milliseconds spreadTime{2000}; // in which the members copy each other's records

/** A fleet of three records VMs, and two entry VMs of which each runs a turn of the same id. */
struct RepeatedTurn
{
    [[nodiscard]] TurnRequest turn(const char *request, const char *previous) const
    {
        TurnRequest turnRequest;
        turnRequest.program = "program";
        turnRequest.request = request;
        turnRequest.team = "team";
        turnRequest.previousTurn = previous;
        turnRequest.budget = 1000;
        turnRequest.maximumTokens = 100;
        turnRequest.retention = std::chrono::seconds(60);
        turnRequest.deadline = this->fleet.timers.now() + callTime;
        return turnRequest;
    }

    /** Stores the turn with this output, and returns whether it is kept. */
    bool store(std::size_t entry, const char *output)
    {
        std::optional<bool> isDurable;
        this->fleet.entryVms[entry].client->store(
                this->turn(entry == 0 ? "t1" : this->secondId, ""), "a", output, 50,
                [&isDurable](bool durable) { isDurable = durable; });
        this->fleet.run(callTime + milliseconds(300));
        cr_assert(isDurable.has_value());
        return *isDurable;
    }

    /** Opens a turn that continues the repeated one, and returns its history. */
    TurnAdmission open(std::size_t entry, const char *request)
    {
        std::optional<TurnAdmission> admission;
        this->fleet.entryVms[entry].client->open(
                this->turn(request, this->secondId),
                [&admission](const TurnAdmission &result) { admission = result; });
        this->fleet.run(milliseconds(1200));
        cr_assert(admission.has_value());
        return *admission;
    }

    /** Checks that a turn on each entry VM goes on from this history. */
    void expectHistory(const char *history)
    {
        const std::vector<const char *> requests{"t2", "t3"};
        for (std::size_t entry = 0; entry < requests.size(); ++entry) {
            const TurnAdmission admission = this->open(entry, requests[entry]);
            cr_assert(admission.outcome == TurnOutcome::Ready, "%zu: %d", entry,
                      static_cast<int>(admission.outcome));
            cr_assert(admission.history == history, "%zu: %s", entry,
                      admission.history.constData());
        }
    }

    void cutFromMembers(const QString &vm, const std::vector<const char *> &members)
    {
        for (const char *member : members)
            this->fleet.network.cut(vm, QLatin1String(member));
    }

    RecordsFleet fleet{3, 2};
    const char *secondId = "t1"; ///< of the run on the second VM
};

} // namespace

// Its members would hold the first output, and its caller the second.
Test(repeated_turn, with_another_output_is_not_kept)
{
    RepeatedTurn test;
    cr_assert(test.store(0, "b\n"));
    cr_assert(!test.store(1, "c\n"), "two outputs of one turn were kept");
    test.expectHistory("ab\n");
}

// The VM of the first run would go on from what its caller got without its end.
Test(repeated_turn, after_one_that_could_not_be_kept_is_the_history_on_every_vm)
{
    RepeatedTurn test;
    test.cutFromMembers(QStringLiteral("e1"), {"r1", "r2", "r3"});
    cr_assert(!test.store(0, "b\n"));
    test.fleet.network.cut(QStringLiteral("e1"), QStringLiteral("r1"));
    cr_assert(test.store(1, "c\n"));
    test.fleet.network.healAll();
    test.fleet.run(spreadTime);
    test.expectHistory("ac\n");
}

// A copy of the first run that has spread among the members must not be acknowledged as the second.
Test(repeated_turn, is_not_kept_where_the_first_run_has_reached_a_member)
{
    RepeatedTurn test;
    test.cutFromMembers(QStringLiteral("e1"), {"r2", "r3"});
    for (const char *member : {"r2", "r3"})
        test.fleet.network.pause(QLatin1String(member));
    cr_assert(!test.store(0, "b\n"));
    for (const char *member : {"r2", "r3"})
        test.fleet.network.resume(QLatin1String(member));
    test.fleet.network.healAll();
    test.fleet.run(spreadTime);
    cr_assert(!test.store(1, "c\n"), "two outputs of one turn were kept");
    test.expectHistory("ab\n");
}

// The same record arrives again behind a broken link, or after another member's copy of it.
Test(repeated_turn, with_the_same_output_is_kept)
{
    RepeatedTurn test;
    cr_assert(test.store(0, "b\n"));
    cr_assert(test.store(1, "b\n"));
    test.expectHistory("ab\n");
}

// As the pages say: each attempt has an id of its own, and the next turn names the one that was
// whole.
Test(repeated_turn, with_an_id_of_its_own_is_the_history_wherever_the_first_run_is)
{
    const std::vector<std::vector<const char *>> cuts{{}, {"r3"}, {"r2", "r3"}, {"r1", "r2", "r3"}};
    for (const std::vector<const char *> &cut : cuts) {
        RepeatedTurn test;
        test.secondId = "t1b";
        test.cutFromMembers(QStringLiteral("e1"), cut);
        cr_assert_eq(test.store(0, "b\n"), cut.size() < 2);
        cr_assert(test.store(1, "c\n"));
        test.fleet.network.healAll();
        test.fleet.run(spreadTime);
        test.expectHistory("ac\n");
    }
}

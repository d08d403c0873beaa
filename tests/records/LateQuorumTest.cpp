#include "simulation/RecordsFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a whole answer being broken off because the records VMs answer late, though its
// call still has time.

namespace {

constexpr milliseconds callTime{4000};

/** A fleet of three records VMs, and a turn that its only entry VM stores. */
struct LateQuorum
{
    void store(milliseconds timeLeft = callTime)
    {
        TurnRequest turn;
        turn.program = "program";
        turn.request = "t1";
        turn.team = "team";
        turn.retention = std::chrono::seconds(60);
        turn.deadline = this->fleet.timers.now() + timeLeft;
        this->fleet.entryVms[0].client->store(
                turn, "a", "b\n", 50, [this](bool isStored) { this->isDurable = isStored; });
    }

    /** Gives the members a newer view while they handle what this VM has just sent, and the entry
        VM no way to learn of it from the platform's store. */
    void changeViewMeanwhile()
    {
        this->fleet.run(milliseconds(2));
        RecordsView newer = this->fleet.storedView();
        ++newer.number;
        for (auto &[name, vm] : this->fleet.recordsVms)
            vm.server->setView(newer);
        this->fleet.run(milliseconds(100));
    }

    /** Checks that the turn has no outcome for the time, and is durable soon after the action. */
    void expectDurableAfter(milliseconds wait, const std::function<void()> &action)
    {
        this->fleet.run(wait);
        cr_assert(!this->isDurable.has_value(), "%s", *this->isDurable ? "durable" : "given up");
        action();
        this->fleet.run(milliseconds(400));
        cr_assert(this->isDurable.has_value(), "still waits");
        cr_assert(*this->isDurable, "given up");
    }

    RecordsFleet fleet{3, 1};
    std::optional<bool> isDurable;
};

} // namespace

Test(late_quorum, a_turn_waits_for_members_that_pause)
{
    LateQuorum test;
    test.fleet.network.pause(QStringLiteral("r2"));
    test.fleet.network.pause(QStringLiteral("r3"));
    test.store();
    test.expectDurableAfter(milliseconds(3000),
                            [&test] { test.fleet.network.resume(QStringLiteral("r2")); });
}

Test(late_quorum, a_turn_waits_for_a_member_that_restarts)
{
    LateQuorum test;
    test.fleet.network.pause(QStringLiteral("r3"));
    test.fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    test.store();
    test.expectDurableAfter(milliseconds(2000),
                            [&test] { test.fleet.startRecordsVm(QStringLiteral("r2")); });
}

Test(late_quorum, a_turn_waits_for_links_that_are_cut)
{
    LateQuorum test;
    test.fleet.network.cut(QStringLiteral("e1"), QStringLiteral("r2"));
    test.fleet.network.cut(QStringLiteral("e1"), QStringLiteral("r3"));
    test.store();
    test.expectDurableAfter(milliseconds(2000), [&test] { test.fleet.network.healAll(); });
}

Test(late_quorum, a_turn_waits_for_slow_disks)
{
    LateQuorum test;
    for (const char *name : {"r2", "r3"})
        test.fleet.recordsVms.at(QLatin1String(name)).log->setSyncTime(milliseconds(2500));
    test.store();
    test.expectDurableAfter(milliseconds(2400), [] {});
}

Test(late_quorum, a_turn_is_given_up_at_the_deadline_of_its_call)
{
    LateQuorum test;
    test.fleet.network.pause(QStringLiteral("r2"));
    test.fleet.network.pause(QStringLiteral("r3"));
    test.store(milliseconds(500));
    test.fleet.run(milliseconds(490));
    cr_assert(!test.isDurable.has_value(), "it still has time");
    test.fleet.run(milliseconds(20));
    cr_assert(test.isDurable.has_value(), "its time is up");
    cr_assert(!*test.isDurable);
}

// The acknowledgements are given under a view that the entry VM does not have yet.
Test(late_quorum, a_turn_is_stored_again_when_the_view_has_changed_meanwhile)
{
    LateQuorum test;
    test.store();
    test.changeViewMeanwhile();
    cr_assert(test.isDurable.has_value(), "no acknowledgement counts");
    cr_assert(*test.isDurable);
}

Test(late_quorum, a_turn_is_opened_again_when_the_view_has_changed_meanwhile)
{
    LateQuorum test;
    TurnRequest turn;
    turn.program = "program";
    turn.request = "t1";
    turn.team = "team";
    turn.budget = 1000;
    turn.maximumTokens = 100;
    turn.deadline = test.fleet.timers.now() + callTime;
    std::optional<TurnOutcome> outcome;
    test.fleet.entryVms[0].client->open(
            turn, [&outcome](const TurnAdmission &admission) { outcome = admission.outcome; });
    test.changeViewMeanwhile();
    cr_assert(outcome.has_value(), "no reply counts");
    cr_assert(*outcome == TurnOutcome::Ready);
}

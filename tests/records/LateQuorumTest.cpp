#include "simulation/RecordsFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a whole answer being broken off because the records VMs answer late, though its
// call still has time.

namespace {

constexpr milliseconds callTime{4000};

/** A fleet of three records VMs, and a turn that its only entry VM opens or stores. */
struct LateQuorum
{
    [[nodiscard]] TurnRequest turn(milliseconds timeLeft = callTime) const
    {
        TurnRequest request;
        request.program = "program";
        request.request = "t1";
        request.team = "team";
        request.budget = 1000;
        request.maximumTokens = 100;
        request.retention = std::chrono::seconds(60);
        request.deadline = this->fleet.timers.now() + timeLeft;
        return request;
    }

    void store(milliseconds timeLeft = callTime)
    {
        this->fleet.entryVms[0].client->store(
                this->turn(timeLeft), "a", "b\n", 50,
                [this](bool isStored) { this->isDurable = isStored; });
    }

    void open()
    {
        this->fleet.entryVms[0].client->open(this->turn(), [this](const TurnAdmission &admission) {
            this->outcome = admission.outcome;
        });
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
    std::optional<TurnOutcome> outcome;
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
    test.open();
    test.changeViewMeanwhile();
    cr_assert(test.outcome.has_value(), "no reply counts");
    cr_assert(*test.outcome == TurnOutcome::Ready);
}

// Two of three suffice for a reservation.
Test(late_quorum, one_silent_member_delays_no_reservation)
{
    for (const char *silent : {"r1", "r2", "r3"}) {
        LateQuorum test;
        test.fleet.network.pause(QLatin1String(silent));
        test.open();
        test.fleet.run(milliseconds(60));
        cr_assert(test.outcome.has_value(), "%s", silent);
        cr_assert(*test.outcome == TurnOutcome::Ready);
    }
}

Test(late_quorum, a_turn_is_kept_by_a_standby_that_replaces_a_lost_member)
{
    LateQuorum test;
    test.fleet.startRecordsVm(QStringLiteral("r4"));
    test.fleet.run(milliseconds(3000));
    test.fleet.stopRecordsVm(QStringLiteral("r2"), 0);
    test.fleet.run(milliseconds(1000));
    test.fleet.network.cut(QStringLiteral("e1"), QStringLiteral("r3"));
    test.store();
    test.fleet.run(milliseconds(3500));
    cr_assert(test.isDurable.has_value(), "it is on one disk");
    cr_assert(*test.isDurable);
}

// Guards against a turn that is refused at once, as links to records VMs broke after it was sent,
// although they form again within a moment.
Test(late_quorum, a_turn_is_opened_when_its_links_form_again)
{
    LateQuorum test;
    test.open();
    for (const char *name : {"r1", "r2", "r3"})
        test.fleet.network.breakLink(QStringLiteral("e1"), QLatin1String(name));
    test.fleet.run(milliseconds(200));
    cr_assert(test.outcome.has_value());
    cr_assert(*test.outcome == TurnOutcome::Ready, "outcome %d", static_cast<int>(*test.outcome));
}

Test(late_quorum, a_turn_does_not_wait_long_for_links_that_stay_broken)
{
    LateQuorum test;
    test.open();
    for (const char *name : {"r1", "r2"}) {
        test.fleet.network.breakLink(QStringLiteral("e1"), QLatin1String(name));
        test.fleet.network.cut(QStringLiteral("e1"), QLatin1String(name));
    }
    test.fleet.run(milliseconds(300));
    cr_assert(test.outcome.has_value());
    cr_assert(*test.outcome == TurnOutcome::Unavailable);
}

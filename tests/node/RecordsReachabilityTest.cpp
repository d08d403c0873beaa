#include "lacewingmux_node/front/RecordsReachability.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

/** Makes checks at the usual interval. */
struct Checks
{
    RecordsReachability reachability;
    TimerService::SteadyTime now{1000s};

    RecordsReachability::State next(bool hasQuorum, bool isResponsive)
    {
        this->now += RecordsReachability::checkInterval;
        return this->reachability.check(hasQuorum, isResponsive, this->now);
    }
};

} // namespace

// Guards against an entry VM of a partitioned zone that passes one check of the load balancer
// between the silence of its records VMs and the closing of the links to them, and so gets new
// callers again that it must refuse.
Test(records_reachability, a_silent_vm_is_not_ready_while_its_links_are_being_closed)
{
    Checks checks;
    cr_assert(checks.next(true, true).ready);
    cr_assert(checks.next(true, false).ready, "one silent check");
    cr_assert_not(checks.next(true, false).ready);
    for (int count = 0; count < 10; ++count) {
        cr_assert_not(checks.next(false, false).ready, "check %d without links", count);
    }
    cr_assert_not(checks.next(false, false).reachable);
    const RecordsReachability::State healed = checks.next(true, true);
    cr_assert(healed.ready && healed.reachable);
}

// Guards against a load balancer that takes a VM out of service because a link was opened again.
Test(records_reachability, a_link_that_reconnects_quickly_changes_nothing)
{
    Checks checks;
    cr_assert(checks.next(true, true).ready);
    for (int count = 0; count < 2; ++count) {
        const RecordsReachability::State state = checks.next(false, false);
        cr_assert(state.ready && state.reachable);
    }
    cr_assert(checks.next(true, true).ready);
    for (int count = 0; count < 3; ++count)
        (void)checks.next(false, false);
    const RecordsReachability::State lost = checks.next(false, false);
    cr_assert(!lost.ready && !lost.reachable);
}

// Guards against a VM that was suspended and takes the time of its suspension for silence of the
// records VMs, whose answers it has not read yet.
Test(records_reachability, a_suspended_vm_is_not_silent)
{
    Checks checks;
    cr_assert(checks.next(true, true).ready);
    checks.now += 5s;
    cr_assert(checks.next(true, false).ready);
    cr_assert(checks.next(true, true).ready);
}

// A VM that has not had a quorum yet must not get callers.
Test(records_reachability, is_not_ready_before_the_first_quorum)
{
    Checks checks;
    const RecordsReachability::State state = checks.next(false, false);
    cr_assert(!state.ready && !state.reachable);
}

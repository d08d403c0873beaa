#include "support/RelayedEntryVm.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

/** Time in which a VM must act on what it could not learn during a cut: the platform grants three
    seconds after the cut, of which the links take up to one to reconnect. */
constexpr milliseconds timeToCatchUp{2000};

const std::set<QByteArray> both{"1", "2"};
const std::set<QByteArray> onlyTheSecond{"2"};

/** Starts with two registered replicas that the entry VM uses. */
struct TwoReplicas
{
    TwoReplicas()
    {
        this->vm.registerReplica("1");
        this->vm.registerReplica("2");
        this->vm.run(milliseconds(5000));
        cr_assert(this->vm.replicas() == both);
    }

    RelayedEntryVm vm;
};

} // namespace

// A replica that left while the entry VM was cut off got calls for 2.4 s after the reconnection.
Test(cut_entry_vm, drops_a_replica_that_left_during_the_cut_once_relays_serve_it_again)
{
    TwoReplicas test;
    test.vm.setCut(true);
    test.vm.run(milliseconds(4000));
    test.vm.removeReplica("1");
    test.vm.run(milliseconds(8000));
    test.vm.setCut(false);
    test.vm.run(timeToCatchUp);
    cr_assert(test.vm.replicas() == onlyTheSecond);
}

// Silent relays must not cost an entry VM its replicas, nor for long what changes meanwhile.
Test(store_follower, keeps_its_replicas_while_all_relays_are_silent_for_a_moment)
{
    TwoReplicas test;
    test.vm.setCut(true);
    for (int step = 0; step < 13; ++step) {
        test.vm.run(milliseconds(100));
        cr_assert(test.vm.replicas() == both, "step %d", step);
    }
    test.vm.registerReplica("3");
    test.vm.setCut(false);
    for (int step = 0; step < 20; ++step) {
        test.vm.run(milliseconds(100));
        cr_assert(test.vm.replicas().contains("1"), "step %d", step);
        cr_assert(test.vm.replicas().contains("2"), "step %d", step);
    }
    cr_assert(test.vm.replicas().contains("3"));
}

Test(store_follower, drops_a_replica_at_once_while_relays_serve_it)
{
    TwoReplicas test;
    test.vm.removeReplica("1");
    test.vm.run(milliseconds(100));
    cr_assert(test.vm.replicas() == onlyTheSecond);
}

Test(store_follower, keeps_replicas_whose_entries_lapsed_while_the_store_was_away)
{
    TwoReplicas test;
    test.vm.setStoreReachable(false);
    test.vm.run(milliseconds(6000));
    test.vm.setStoreReachable(true);
    test.vm.run(milliseconds(100));
    test.vm.removeReplica("1");
    test.vm.removeReplica("2");
    test.vm.run(milliseconds(1900));
    cr_assert(test.vm.replicas() == both, "replicas register again within two seconds");
    test.vm.registerReplica("2");
    test.vm.run(milliseconds(1000));
    cr_assert(test.vm.replicas() == onlyTheSecond, "what is still missing is gone");
}

// The entry VM cannot tell the two apart on its own, and the relays lost the store as well.
Test(store_follower, keeps_lapsed_replicas_if_it_was_cut_off_while_the_store_was_away)
{
    TwoReplicas test;
    test.vm.setCut(true);
    test.vm.setStoreReachable(false);
    test.vm.run(milliseconds(6000));
    test.vm.removeReplica("1");
    test.vm.removeReplica("2");
    test.vm.setStoreReachable(true);
    test.vm.setCut(false);
    test.vm.run(milliseconds(1900));
    cr_assert(test.vm.replicas() == both, "replicas register again within two seconds");
    test.vm.registerReplica("2");
    test.vm.run(milliseconds(1500));
    cr_assert(test.vm.replicas() == onlyTheSecond, "what is still missing is gone");
}

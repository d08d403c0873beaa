#include "lacewingmux_gateway/replicas/ReplicaDirectory.h"
#include "lacewingmux_core/time/ManualTimerService.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

ReplicaInstance replica(const QByteArray &id)
{
    ReplicaInstance instance;
    instance.id = id;
    instance.service = "service";
    return instance;
}

struct DirectoryFixture
{
    ManualTimerService timers;
    std::size_t count = 0;
    ReplicaDirectory directory{this->timers, [this](const auto &all) { this->count = all.size(); }};
};

} // namespace

Test(replica_directory, removes_a_missing_entry_at_once_while_the_store_is_reachable)
{
    DirectoryFixture test;
    test.directory.update("1", replica("1"));
    test.directory.update("2", replica("2"));
    test.directory.remove("1");
    test.timers.runPosted();
    cr_assert_eq(test.count, 1);
}

Test(replica_directory, keeps_entries_that_expired_during_a_store_outage)
{
    DirectoryFixture test;
    test.directory.update("1", replica("1"));
    test.directory.update("2", replica("2"));
    test.directory.setStoreUnreachable();
    test.directory.setStoreReachable(test.timers.now());
    test.directory.remove("1");
    test.directory.remove("2");
    test.timers.advance(milliseconds(1900));
    test.timers.runPosted();
    cr_assert_eq(test.count, 2, "replicas register again within two seconds");
    test.directory.update("1", replica("1"));
    test.timers.advance(milliseconds(1000));
    test.timers.runPosted();
    cr_assert_eq(test.count, 1, "what is still missing is gone");
}

Test(replica_directory, counts_from_when_the_store_was_reachable_not_from_when_this_vm_was)
{
    DirectoryFixture test;
    test.directory.update("1", replica("1"));
    test.directory.setStoreUnreachable();
    test.directory.setStoreReachable(test.timers.now());
    test.directory.remove("1");
    test.timers.runPosted();
    cr_assert_eq(test.count, 1, "the store may have been away");
    test.directory.setStoreReachable(test.timers.now() - milliseconds(1400));
    test.timers.advance(milliseconds(900));
    test.timers.runPosted();
    cr_assert_eq(test.count, 1);
    test.timers.advance(milliseconds(200));
    test.timers.runPosted();
    cr_assert_eq(test.count, 0);
}

Test(replica_directory, keeps_entries_while_the_store_is_lost_again)
{
    DirectoryFixture test;
    test.directory.update("1", replica("1"));
    test.directory.setStoreUnreachable();
    test.directory.setStoreReachable(test.timers.now());
    test.directory.remove("1");
    test.directory.setStoreUnreachable();
    test.timers.advance(milliseconds(10000));
    test.timers.runPosted();
    cr_assert_eq(test.count, 1);
}

Test(replica_directory, an_unreadable_entry_removes_its_replica)
{
    DirectoryFixture test;
    test.directory.update("1", replica("1"));
    test.directory.update("1", std::nullopt);
    test.timers.runPosted();
    cr_assert_eq(test.count, 0);
}

#include "lacewingmux_backend/orders/CacheReleaseTracker.h"
#include "lacewingmux_backend/orders/OrderLease.h"
#include "lacewingmux_backend/orders/OrderLeaseExchange.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

VmIncarnation vm(int number)
{
    return {QStringLiteral("vm%1").arg(number), QStringLiteral("zone-a"), 1};
}

ZoneView viewOf(std::uint64_t epoch, const std::vector<int> &numbers)
{
    std::vector<VmDescriptor> members;
    for (const int number : numbers) {
        VmDescriptor member;
        member.incarnation = vm(number);
        members.push_back(member);
    }
    return {QStringLiteral("zone-a"), epoch, members};
}

/** One VM that renews its order lease over an in-memory network. */
struct Member
{
    Member(InMemoryPeerNetwork &network, TimerService &timers, int number)
        : hub(network.makeHub(vm(number)))
        , lease(vm(number))
        , exchange(*hub, timers, lease)
    { }

    void adopt(const ZoneView &view)
    {
        this->hub->setPeers(view.members());
        this->exchange.adoptView(view);
    }

    std::unique_ptr<PeerHub> hub;
    OrderLease lease;
    OrderLeaseExchange exchange;
};

struct SentOrder
{
    QString replica;
    EngineOrderKind kind;
    std::function<void(OrderOutcome)> callback;
};

struct ReleaseFixture
{
    ManualTimerService timers;
    std::mt19937_64 random{7};
    std::vector<SentOrder> sent;
    std::vector<QString> released;
    CacheReleaseTracker releases{
            timers, random,
            [this](const QString &replica, EngineOrderKind kind, const QString &,
                   std::function<void(OrderOutcome)> callback) {
                this->sent.push_back({replica, kind, std::move(callback)});
            },
            [this](const QString &program) { this->released.push_back(program); }};

    void completeAll(OrderOutcome outcome)
    {
        for (const SentOrder &order : std::exchange(this->sent, {}))
            order.callback(outcome);
    }
};

const QString program = QStringLiteral("p1");

} // namespace

Test(OrderLease, anEngineThatChecksFencingMayReceiveOrdersImmediately)
{
    ManualTimerService timers;
    OrderLease lease(vm(1));
    cr_assert_not(lease.mayIssue(true, timers.now()));
    lease.adoptView(viewOf(3, {1, 2}), timers.now());
    cr_assert(lease.mayIssue(true, timers.now()));
    cr_assert_not(lease.mayIssue(false, timers.now()));
    cr_assert_eq(lease.fencingToken(), 3);
}

Test(OrderLease, aVmOutsideTheViewSendsNoOrders)
{
    ManualTimerService timers;
    OrderLease lease(vm(1));
    lease.adoptView(viewOf(3, {2}), timers.now());
    cr_assert_not(lease.mayIssue(true, timers.now() + 1h));
    cr_assert_not(lease.mayIssue(false, timers.now() + 1h));
}

Test(OrderLease, oldAndNewLeaseHolderNeverOrderAnEngineWithoutFencingAtTheSameTime)
{
    // The old holder is cut off at different times, and the other member continues alone.
    for (int cutAfter = 0; cutAfter < 15000; cutAfter += 730) {
        ManualTimerService timers;
        InMemoryPeerNetwork network(timers);
        Member old(network, timers, 1);
        Member next(network, timers, 2);
        old.adopt(viewOf(1, {1, 2}));
        next.adopt(viewOf(1, {1, 2}));
        timers.advance(std::chrono::milliseconds(cutAfter));
        network.cut(QStringLiteral("vm1"), QStringLiteral("vm2"));
        next.adopt(viewOf(2, {2}));
        bool nextOrdered = false;
        for (int step = 0; step < 200; ++step) {
            timers.advance(50ms);
            const bool oldMay = old.lease.mayIssue(false, timers.now());
            const bool nextMay = next.lease.mayIssue(false, timers.now());
            cr_assert_not(oldMay && nextMay, "cut after %d ms, step %d", cutAfter, step);
            nextOrdered = nextOrdered || nextMay;
        }
        cr_assert(nextOrdered);
        cr_assert_not(old.lease.mayIssue(false, timers.now()));
    }
}

Test(OrderLease, aPausedVmHasNoLeaseWhenItResumes)
{
    ManualTimerService timers;
    InMemoryPeerNetwork network(timers);
    Member paused(network, timers, 1);
    Member other(network, timers, 2);
    paused.adopt(viewOf(1, {1, 2}));
    other.adopt(viewOf(1, {1, 2}));
    timers.advance(10s);
    cr_assert(paused.lease.mayIssue(false, timers.now()));
    cr_assert_not(paused.lease.mayIssue(false, timers.now() + 4s));
}

Test(CacheReleaseTracker, anOrderIsResentUntilItIsConfirmed)
{
    ReleaseFixture f;
    f.releases.recordPrefixHolder(program, QStringLiteral("e0"));
    f.releases.recordPrefixHolder(program, QStringLiteral("e1"));
    f.releases.endProgram(program, {});
    cr_assert_eq(f.sent.size(), 2);
    for (int failure = 0; failure < 5; ++failure) {
        f.completeAll(failure % 2 == 0 ? OrderOutcome::Unconfirmed : OrderOutcome::Fenced);
        cr_assert_eq(f.released.size(), 0);
        f.timers.advance(10s);
        cr_assert_eq(f.sent.size(), 2);
    }
    f.completeAll(OrderOutcome::Done);
    cr_assert_eq(f.released.size(), 1);
    cr_assert_eq(f.releases.unconfirmed(), 0);
    f.timers.advance(60s);
    cr_assert_eq(f.sent.size(), 0);
}

Test(CacheReleaseTracker, aRestartedReplicaHoldsNoPrefixes)
{
    ReleaseFixture f;
    f.releases.recordPrefixHolder(program, QStringLiteral("e0"));
    f.releases.endProgram(program, {});
    f.releases.replicaCleared(QStringLiteral("e0"));
    cr_assert_eq(f.released.size(), 1);
    f.completeAll(OrderOutcome::Unconfirmed);
    f.timers.advance(60s);
    cr_assert_eq(f.sent.size(), 0);
}

Test(CacheReleaseTracker, anEngineWithoutEndProgramReceivesDropCache)
{
    ReleaseFixture f;
    f.releases.recordPrefixHolder(program, QStringLiteral("e0"));
    f.releases.endProgram(program, {});
    cr_assert(f.sent.front().kind == EngineOrderKind::EndProgram);
    f.completeAll(OrderOutcome::Unsupported);
    f.timers.advance(10s);
    cr_assert(f.sent.front().kind == EngineOrderKind::DropCache);
    f.completeAll(OrderOutcome::Done);
    cr_assert_eq(f.released.size(), 1);
}

Test(CacheReleaseTracker, aNewCallCancelsAnUnconfirmedDrop)
{
    ReleaseFixture f;
    f.releases.recordPrefixHolder(program, QStringLiteral("e0"));
    f.releases.dropPrefix(program);
    f.completeAll(OrderOutcome::Unconfirmed);
    f.releases.recordPrefixHolder(program, QStringLiteral("e0"));
    f.timers.advance(60s);
    cr_assert_eq(f.sent.size(), 0);
    cr_assert_eq(f.releases.holders(program).size(), 1);
}

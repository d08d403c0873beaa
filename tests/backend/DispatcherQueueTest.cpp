#include "backend/support/DispatcherFixture.h"
#include "lacewingmux_zone/views/ZoneView.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

/** A power budget with a cap that records the current and the highest reservation. */
class CountingPowerBudget final : public PowerBudget
{
public:
    explicit CountingPowerBudget(double capWatts)
        : cap(capWatts)
    { }

    void reserve(double watts,
                 std::function<void(std::optional<PowerReservation>)> callback) override
    {
        if (this->reserved + watts > this->cap) {
            callback(std::nullopt);
            return;
        }
        this->reserved += watts;
        this->highest = std::max(this->highest, this->reserved);
        callback(PowerReservation(
                watts, [this](double returnedWatts) { this->reserved -= returnedWatts; }));
    }

    double cap;
    double reserved = 0;
    double highest = 0;
};

standin::EngineSettings slowEngine()
{
    standin::EngineSettings settings;
    settings.stepTime = 10ms;
    return settings;
}

} // namespace

Test(ReplicaDispatcher, aCallWithoutReplicaCapacityEndsAtItsQueueTimeoutWithoutRunning)
{
    DispatcherFixture f;
    standin::EngineFaults faults;
    faults.hang = true;
    f.addEngine().setFaults(faults);
    f.replica(QStringLiteral("e0")).record.maxSequences = 1;
    f.adopt();
    const auto &first = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("one")));
    f.loop.waitUntil([&first] { return !first.startedAt.empty(); }, "the first call");
    DispatchRequest request = f.chat(QStringLiteral("r2"), QStringLiteral("two"));
    request.queueTimeout = 50ms;
    const auto &result = f.finish(f.dispatch(request));
    cr_assert(result.error == ErrorKind::QueueTimeout);
    cr_assert(result.executed == Executed::No);
    cr_assert_gt(result.retryAfter.count(), 0);
    cr_assert_eq(f.engines[0]->runs(QStringLiteral("r2")), 0);
}

Test(ReplicaDispatcher, cancellingReportsWhetherTheCallMayHaveRun)
{
    DispatcherFixture f;
    f.addEngine(slowEngine());
    f.replica(QStringLiteral("e0")).record.maxSequences = 1;
    f.adopt();
    const auto &running = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("one")));
    f.loop.waitUntil([&] { return f.engines[0]->runs(QStringLiteral("r1")) == 1; }, "the run");
    const auto &queued = f.dispatch(f.chat(QStringLiteral("r2"), QStringLiteral("two")));
    f.loop.runFor(20ms);
    f.dispatcher.cancel(queued.handle, ErrorKind::KeyWithdrawn);
    f.dispatcher.cancel(running.handle, ErrorKind::KeyWithdrawn);
    cr_assert(f.finish(queued).executed == Executed::No);
    cr_assert(f.finish(running).executed == Executed::Unknown);
    cr_assert(queued.result->error == ErrorKind::KeyWithdrawn);
    f.loop.runFor(100ms);
    cr_assert_eq(f.engines[0]->runs(QStringLiteral("r2")), 0);
    cr_assert_eq(f.dispatcher.activeCalls(), 0);
}

Test(ReplicaDispatcher, aRunningNonIdempotentCallContinuesWhenCancelled)
{
    DispatcherFixture f;
    standin::ServiceFaults faults;
    faults.delay = 50ms;
    f.addService().setFaults(faults);
    f.adopt();
    const auto &call = f.dispatch(f.booking(QStringLiteral("b1")));
    f.loop.waitUntil([&] { return f.services[0]->runs(QStringLiteral("b1")) == 1; }, "the run");
    f.dispatcher.cancel(call.handle, ErrorKind::CallerGone);
    cr_assert(f.finish(call).completed);
}

Test(ReplicaDispatcher, powerIsReservedForEachRunAndReleased)
{
    CountingPowerBudget budget(250);
    DispatcherFixture f(&budget);
    f.addEngine(slowEngine());
    f.replica(QStringLiteral("e0")).record.wattsPerSequence = 100;
    f.adopt();
    std::vector<const ObservedCall *> calls;
    calls.reserve(6);
    for (int number = 0; number < 6; ++number)
        calls.push_back(
                &f.dispatch(f.chat(QStringLiteral("r%1").arg(number), QStringLiteral("hello"))));
    for (const auto *call : calls)
        cr_assert(f.finish(*call).completed);
    cr_assert_eq(budget.highest, 200);
    cr_assert_eq(budget.reserved, 0);
}

Test(ReplicaDispatcher, aCallThatGetsNoPowerReportsThePowerCap)
{
    CountingPowerBudget budget(50);
    DispatcherFixture f(&budget);
    f.addEngine();
    f.replica(QStringLiteral("e0")).record.wattsPerSequence = 100;
    f.adopt();
    DispatchRequest request = f.chat(QStringLiteral("r1"), QStringLiteral("hello"));
    request.queueTimeout = 150ms;
    const auto &result = f.finish(f.dispatch(request));
    cr_assert(result.error == ErrorKind::PowerCapReached);
    cr_assert(result.executed == Executed::No);
    cr_assert_eq(f.engines[0]->totalRuns(), 0);
}

Test(ReplicaDispatcher, aProgramReturnsToTheReplicaThatHoldsItsPrefix)
{
    DispatcherFixture f;
    for (int number = 0; number < 4; ++number)
        f.addEngine();
    f.adopt();
    QString text = QStringLiteral("a fairly long question of more than eight words it is");
    const QString program = QStringLiteral("p1");
    DispatchRequest request = f.chat(QStringLiteral("p1/1"), text, program);
    const QString holder = f.finish(f.dispatch(request)).replica;
    for (int number = 2; number < 6; ++number) {
        request = f.chat(QStringLiteral("p1/%1").arg(number), text, program);
        request.prefixTokens = 1000;
        const auto &result = f.finish(f.dispatch(request));
        cr_assert(result.replica == holder);
        cr_assert_gt(result.cachedTokens, 0);
    }
}

Test(ReplicaDispatcher, anEndedProgramHoldsNoCacheEvenWhenOrdersFailAtFirst)
{
    DispatcherFixture f;
    standin::EngineFaults faults;
    faults.failOrders = 2;
    faults.loseOrderAnswers = 1;
    for (int number = 0; number < 2; ++number)
        f.addEngine().setFaults(faults);
    f.adopt();
    std::vector<QString> released;
    f.dispatcher.setReleaseHandler(
            [&released](const QString &program) { released.push_back(program); });
    const QString program = QStringLiteral("p1");
    const QString text = QStringLiteral("one two three four five six seven eight nine ten");
    for (int number = 0; number < 8; ++number)
        f.finish(f.dispatch(f.chat(QStringLiteral("p1/%1").arg(number), text, program)));
    const auto held = [&f, &program] {
        return f.engines[0]->tokensHeldBy(program) + f.engines[1]->tokensHeldBy(program);
    };
    cr_assert_gt(held(), 0);
    f.dispatcher.programEnded(program);
    f.loop.waitUntil([&released] { return !released.empty(); }, "the confirmation");
    cr_assert_eq(held(), 0);
    cr_assert_eq(released.size(), 1);
    cr_assert_eq(f.dispatcher.unconfirmedOrders(), 0);
}

Test(ReplicaDispatcher, aProgramThatEndsDuringItsCallHoldsNoCache)
{
    DispatcherFixture f;
    f.addEngine(slowEngine());
    f.adopt();
    bool released = false;
    f.dispatcher.setReleaseHandler([&released](const QString &) { released = true; });
    const QString text = QStringLiteral("one two three four five six seven eight nine ten");
    const auto &call = f.dispatch(f.chat(QStringLiteral("p1/1"), text, QStringLiteral("p1")));
    f.loop.waitUntil([&] { return f.engines[0]->totalRuns() == 1; }, "the run");
    f.dispatcher.programEnded(QStringLiteral("p1"));
    f.dispatcher.cancel(call.handle, ErrorKind::ProgramEnded);
    f.loop.waitUntil([&released] { return released; }, "the confirmation");
    f.loop.runFor(300ms);
    cr_assert_eq(f.engines[0]->tokensHeldBy(QStringLiteral("p1")), 0);
}

Test(ReplicaDispatcher, aProgramOfAnEarlierOwnerIsReleasedOnAllEngines)
{
    DispatcherFixture before;
    DispatcherFixture *f = &before;
    f->addEngine();
    f->adopt();
    const QString text = QStringLiteral("one two three four five six seven eight nine ten");
    f->finish(f->dispatch(f->chat(QStringLiteral("p1/1"), text, QStringLiteral("p1"))));
    ReplicaDispatcher successor({.timers = f->loop.timers,
                                 .metrics = f->metrics,
                                 .self = {QStringLiteral("vm2"), QStringLiteral("zone-a"), 1},
                                 .coincidenceRecorded = {}});
    VmDescriptor member;
    member.incarnation = {QStringLiteral("vm2"), QStringLiteral("zone-a"), 1};
    successor.orderLease().adoptView(ZoneView(QStringLiteral("zone-a"), 2, {member}),
                                     f->loop.timers.now());
    successor.adoptReplicas(std::make_shared<ReplicaSet>(
            std::vector<ReplicaSnapshot>{f->replica(QStringLiteral("e0"))}));
    successor.programEnded(QStringLiteral("p1"));
    f->loop.waitUntil([&successor] { return successor.unconfirmedOrders() == 0; }, "the order");
    cr_assert_eq(f->engines[0]->tokensHeldBy(QStringLiteral("p1")), 0);
}

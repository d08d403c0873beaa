#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// The end of a turn's answer is sent once the turn is stored, which may take as long as the call.

namespace {

// Below the route's timeout in the fixture.
constexpr milliseconds callersTime{700};

/** Answers with a whole stream of one event. */
ScriptedReplica::Handler wholeStream()
{
    return [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "out")
                       + "0\r\n\r\n");
    };
}

/** A caller whose turn has ended at its replica, and is being stored. */
struct StoringTurn
{
    explicit StoringTurn(const QByteArray &fields = {})
    {
        this->begin = this->fixture.loop.timers.now();
        this->caller.send(GatewayFixture::request("POST", "/turn/x", "r1", fields, "new"));
        this->fixture.loop.waitUntil(
                [this] { return static_cast<bool>(this->fixture.turnStore.pendingStore); },
                "the turn to be stored");
    }

    [[nodiscard]] milliseconds passed() const
    {
        return std::chrono::floor<milliseconds>(this->fixture.loop.timers.now() - this->begin);
    }

    GatewayFixture fixture{1, wholeStream()};
    RawCaller caller{this->fixture.gateway->port()};
    TimerService::SteadyTime begin;
};

} // namespace

Test(late_turn, is_waited_for_until_the_deadline_of_its_call)
{
    StoringTurn turn;
    const auto timeToStore = turn.fixture.turnStore.storedTurn.deadline - turn.begin;
    cr_assert_geq(timeToStore.count(), milliseconds(1499).count() * 1000000);
    cr_assert_leq(timeToStore.count(), milliseconds(1700).count() * 1000000);
    turn.fixture.loop.runFor(milliseconds(1200));
    cr_assert_not(turn.caller.isClosed());
    turn.fixture.turnStore.pendingStore(true);
    turn.fixture.loop.waitUntil([&] { return turn.caller.received().endsWith("0\r\n\r\n"); },
                                "the end");
}

Test(late_turn, is_broken_off_at_the_deadline_of_its_call)
{
    StoringTurn turn("Lacewingmux-Deadline-Ms: " + QByteArray::number(qint64{callersTime.count()})
                     + "\r\n");
    turn.fixture.loop.waitUntil([&] { return turn.caller.isClosed(); }, "the end");
    cr_assert_geq(turn.passed().count(), callersTime.count());
    cr_assert_lt(turn.passed().count(), 2 * callersTime.count());
    cr_assert_not(turn.caller.received().endsWith("0\r\n\r\n"), "it is not durable");
    turn.fixture.turnStore.pendingStore(true); // of no effect
    turn.fixture.loop.runFor(milliseconds(50));
    cr_assert_not(turn.caller.received().endsWith("0\r\n\r\n"));
}

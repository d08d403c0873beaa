#include "support/GatewayFixture.h"

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against the answer to an earlier run being taken for that to a later one: a caller sends a
// request again with the same id, so that the id does not tell the two answers apart.

namespace {

using Exchange = ScriptedReplica::Exchange;

constexpr milliseconds answerDelay{50}; // in which a late answer arrives first

/** A replica that writes late copies of all earlier answers before it answers a request. The answer
    to the first request is "run1.", that to the second "run2.", and so on. */
class StutteringReplica
{
public:
    [[nodiscard]] ScriptedReplica::Handler handler()
    {
        return [this](const HttpRequest &request, const Exchange &exchange) {
            this->writeLateCopies();
            this->exchanges.push_back(exchange);
            this->answers.push_back(GatewayFixture::answer(
                    request, "run" + QByteArray::number(this->exchanges.size()) + '.'));
            if (this->answersItself)
                exchange.writeAfter(answerDelay, this->answers.back());
        };
    }

    /** Writes the answer to the request with this number, which is 0 for the first one. */
    void answer(std::size_t number) const
    {
        this->exchanges[number].write(this->answers[number]);
    }

    void writeLateCopies() const
    {
        for (std::size_t number = 0; number < this->answers.size(); ++number)
            this->answer(number);
    }

    bool answersItself = true;
    std::vector<Exchange> exchanges;
    std::vector<QByteArray> answers;
};

QByteArray repeatedRequest()
{
    return GatewayFixture::request("POST", "/once/x", "r1");
}

void expectAnswer(GatewayFixture &fixture, const RawCaller &caller, const char *body)
{
    fixture.loop.waitUntil([&] { return caller.received().endsWith('.') || caller.isClosed(); },
                           "the answer");
    cr_assert(caller.received().endsWith(body), "%s", caller.received().constData());
    cr_assert_eq(caller.received().count("HTTP/1.1 "), 1);
}

void expectAnswerToRepeatedRequest(GatewayFixture &fixture, const char *body)
{
    RawCaller caller(fixture.gateway->port());
    caller.send(repeatedRequest());
    expectAnswer(fixture, caller, body);
}

} // namespace

Test(repeated_request, gets_its_own_answer_each_time)
{
    StutteringReplica replica;
    GatewayFixture fixture(1, replica.handler());
    for (const char *body : {"run1.", "run2.", "run3."})
        expectAnswerToRepeatedRequest(fixture, body);
    cr_assert_eq(fixture.replicas.front()->connectionCount(), 3);
}

Test(repeated_request, at_the_same_time_as_the_first_gets_its_own_answer)
{
    StutteringReplica replica;
    replica.answersItself = false;
    GatewayFixture fixture(1, replica.handler());
    RawCaller first(fixture.gateway->port());
    first.send(repeatedRequest());
    fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; }, "the first request");
    RawCaller second(fixture.gateway->port());
    second.send(repeatedRequest());
    fixture.loop.waitUntil([&] { return fixture.requestCount() == 2; }, "the second request");
    expectAnswer(fixture, first, "run1.");
    replica.writeLateCopies();
    expectAnswer(fixture, second, "run2.");
    replica.answersItself = true;
    expectAnswerToRepeatedRequest(fixture, "run3.");
}

Test(repeated_request, of_a_caller_that_left_and_comes_back_gets_its_own_answer)
{
    StutteringReplica replica;
    replica.answersItself = false;
    GatewayFixture fixture(1, replica.handler());
    {
        RawCaller caller(fixture.gateway->port());
        caller.send(repeatedRequest());
        fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; }, "the first request");
        caller.close();
        fixture.loop.waitUntil([&] { return replica.exchanges[0].isClosed(); }, "its end");
    }
    replica.answersItself = true;
    expectAnswerToRepeatedRequest(fixture, "run2.");
}

// The first VM has a kept connection to the replica, is left during a call, or is stopping.
Test(repeated_request, through_another_vm_gets_its_own_answer)
{
    StutteringReplica replica;
    GatewayFixture vm(1, replica.handler());
    GatewayFixture otherVm(0, replica.handler());
    otherVm.gateway->setReplicas(vm.instances);
    expectAnswerToRepeatedRequest(vm, "run1.");
    expectAnswerToRepeatedRequest(otherVm, "run2.");
    RawCaller caller(vm.gateway->port());
    caller.send(repeatedRequest());
    vm.loop.waitUntil([&] { return vm.requestCount() == 3; }, "the third request");
    vm.gateway->beginStop([] {});
    expectAnswerToRepeatedRequest(otherVm, "run4.");
    expectAnswer(vm, caller, "run3.");
}

// A connection to a replica that is gone must not carry requests to the one behind its address.
Test(repeated_request, behind_a_reused_address_gets_its_own_answer)
{
    for (const bool hasNewId : {true, false}) {
        for (const bool isServing : {true, false}) {
            StutteringReplica replica;
            GatewayFixture fixture(1, replica.handler());
            RawCaller first(fixture.gateway->port());
            first.send(GatewayFixture::request("POST", "/once/x", "r0"));
            if (isServing)
                fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; }, "the request");
            else
                expectAnswer(fixture, first, "run1.");
            fixture.instances[0].startMilliseconds += 5;
            if (hasNewId)
                fixture.instances[0].id = "i-next";
            fixture.gateway->setReplicas(fixture.instances);
            expectAnswer(fixture, first, "run1.");
            expectAnswerToRepeatedRequest(fixture, "run2.");
            expectAnswerToRepeatedRequest(fixture, "run3.");
            cr_assert_eq(fixture.replicas.front()->connectionCount(), 3);
        }
    }
}

Test(repeated_request, on_one_connection_gets_the_answers_in_order)
{
    StutteringReplica replica;
    GatewayFixture fixture(1, replica.handler());
    RawCaller caller(fixture.gateway->port());
    caller.send(repeatedRequest() + repeatedRequest());
    fixture.loop.waitUntil([&] { return caller.received().endsWith("run2."); }, "the answers");
    cr_assert_lt(caller.received().indexOf("run1."), caller.received().indexOf("run2."));
    cr_assert_eq(caller.received().count("HTTP/1.1 "), 2);
}

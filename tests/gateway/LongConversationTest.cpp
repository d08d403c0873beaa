#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/HttpText.h"

#include <criterion/criterion.h>

#include <memory>

using namespace lacewingmux;

// Guards against conversations that are longer than an entry VM's memory ending its process, and
// against a long one reaching its replica damaged.

namespace {

using Exchange = ScriptedReplica::Exchange;

constexpr qsizetype longHistory = qsizetype{40} * 1024 * 1024;
constexpr qsizetype tooLongHistory = qsizetype{65} * 1024 * 1024;

void stream(const HttpRequest &request, const Exchange &exchange)
{
    exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "sound")
                   + lastChunk());
}

/** Sends a turn that continues another one. */
std::unique_ptr<RawCaller> sendTurn(GatewayFixture &fixture, const QByteArray &id)
{
    auto caller = std::make_unique<RawCaller>(fixture.gateway->port());
    caller->send(GatewayFixture::request("POST", "/turn/x", id, "Lacewingmux-Previous-Turn: r0\r\n",
                                         "new input"));
    return caller;
}

} // namespace

Test(long_conversation, reaches_the_replica_in_whole)
{
    GatewayFixture fixture(1, stream);
    QByteArray history(300'000, 'a');
    for (qsizetype position = 0; position < history.size(); position += 7)
        history[position] = static_cast<char>('a' + position % 23);
    fixture.turnStore.admission.history = history;
    const auto caller = sendTurn(fixture, "r1");
    fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; }, "the turn at the replica");
    cr_assert(fixture.replicas[0]->requests().at(0).body == history + "new input");
}

Test(long_conversation, is_refused_before_it_runs_if_the_vm_cannot_hold_it)
{
    GatewayFixture fixture(1, stream);
    fixture.turnStore.admission.history = QByteArray(tooLongHistory, 'a');
    const auto caller = sendTurn(fixture, "r1");
    fixture.loop.waitUntil([&] { return !caller->received().isEmpty(); }, "the refusal");
    cr_assert(caller->received().startsWith("HTTP/1.1 413"), "%s", caller->received().constData());
    fixture.turnStore.admission = {TurnOutcome::HistoryTooLong, {}};
    const auto other = sendTurn(fixture, "r2");
    fixture.loop.waitUntil([&] { return !other->received().isEmpty(); }, "the refusal");
    cr_assert(other->received().startsWith("HTTP/1.1 413"), "%s", other->received().constData());
    cr_assert_eq(fixture.requestCount(), 0);
}

Test(long_conversation, waits_until_another_one_has_ended)
{
    GatewayFixture fixture(1, [](const HttpRequest &request, const Exchange &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "begun"));
    });
    fixture.useTimeout(std::chrono::seconds(20));
    fixture.turnStore.admission.history = QByteArray(longHistory, 'a');
    auto first = sendTurn(fixture, "r1");
    fixture.loop.waitUntil([&] { return !first->received().isEmpty(); }, "the first stream");
    const auto second = sendTurn(fixture, "r2");
    fixture.loop.waitUntil([&] { return !second->received().isEmpty(); }, "the refusal");
    cr_assert(second->received().startsWith("HTTP/1.1 503"), "%s", second->received().constData());
    cr_assert(second->received().contains("Retry-After: 0.3"));
    first.reset();
    fixture.loop.runFor(std::chrono::milliseconds(200));
    const auto third = sendTurn(fixture, "r3");
    fixture.loop.waitUntil([&] { return !third->received().isEmpty(); }, "the next stream");
    cr_assert(third->received().startsWith("HTTP/1.1 200"), "%s", third->received().constData());
}

#include "OwnerTestFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

OwnerRequest keyed(const QByteArray &route, const QString &key, const QByteArray &body)
{
    OwnerRequest request = OwnerTestFixture::request(OwnerOperation::ServiceCall, {});
    request.route = QString::fromUtf8(route);
    request.idempotencyKey = key;
    request.method = "POST";
    request.path = "/bookings";
    request.body = body;
    return request;
}

const QString key = QStringLiteral("order-17");

} // namespace

Test(RequestClaim, runsOnceAndReturnsTheRecordedAnswer)
{
    OwnerTestFixture bench;
    const OwnerRequest request = keyed("booking", key, "truck");
    const auto first = bench.ask(request);
    const auto joined = bench.ask(request);
    bench.dispatcher.answer(bench.latest(), "booked");
    bench.timers.runPosted();
    bench.restart();
    const auto later = bench.ask(request);
    cr_assert(first->ended && joined->ended && later->body == first->body);
    cr_assert_eq(bench.dispatcher.sent.size(), 1);
    cr_assert_not(bench.dispatcher.sent[0].request.idempotent);
    const auto other = bench.ask(keyed("booking", key, "two trucks"));
    cr_assert(other->error && other->error->kind() == ErrorKind::CallConflict);
}

Test(RequestClaim, isUnknownAfterItsOwnerWasLostAndNeverRunsAgain)
{
    OwnerTestFixture bench;
    const OwnerRequest request = keyed("booking", key, "truck");
    bench.ask(request);
    bench.restart();
    for (int tries = 0; tries < 2; ++tries) {
        const auto again = bench.ask(request);
        cr_assert(again->error && again->error->executed() == Executed::Unknown);
    }
    cr_assert_eq(bench.dispatcher.sent.size(), 1);
}

Test(RequestClaim, isFreeAgainWhenItDidNotRun)
{
    OwnerTestFixture bench;
    const OwnerRequest request = keyed("booking", key, "truck");
    const auto refused = bench.ask(request);
    DispatchResult notRun;
    notRun.error = ErrorKind::BackendUnavailable;
    bench.dispatcher.finish(bench.latest(), notRun);
    bench.timers.runPosted();
    cr_assert(refused->error && refused->error->executed() == Executed::No);
    cr_assert_eq(bench.owner->claimCount(), 0);
    bench.ask(request);
    cr_assert_eq(bench.dispatcher.sent.size(), 2);
}

Test(RequestClaim, isNotTakenForNewWhereClaimsWereLost)
{
    OwnerTestFixture bench;
    const OwnerRequest request = keyed("booking", key, "truck");
    const SlotIndex slot =
            claimAggregate(QStringLiteral("zone-a"), request.team, request.idempotencyKey).slot();
    bench.journal.stepDown(slot);
    bench.journal.activate(slot, SlotStatus::ActiveIncomplete);
    const auto refused = bench.ask(request);
    cr_assert(refused->error && refused->error->kind() == ErrorKind::StateLost);
    cr_assert_eq(refused->error->executed(), Executed::Unknown);
    cr_assert(bench.dispatcher.sent.empty());
}

Test(RequestClaim, belongsToItsTeamAndOnOpenRoutesToItsKeyAlone)
{
    OwnerTestFixture bench;
    OwnerRequest request = keyed("booking", key, "truck");
    bench.ask(request);
    request.team = QStringLiteral("other");
    bench.ask(request);
    cr_assert_eq(bench.dispatcher.sent.size(), 2, "two teams may use the same key");
    OwnerRequest anonymous = keyed("open-booking", key, "truck");
    anonymous.team.clear();
    bench.ask(anonymous);
    bench.ask(anonymous);
    cr_assert_eq(bench.dispatcher.sent.size(), 3);
}

Test(RequestClaim, isForgottenAfterItsRetention)
{
    OwnerTestFixture bench;
    bench.ask(keyed("booking", key, "truck"));
    bench.dispatcher.answer(bench.latest(), "booked");
    bench.timers.advance(23h);
    cr_assert_eq(bench.owner->claimCount(), 1);
    bench.timers.advance(2h);
    cr_assert_eq(bench.owner->claimCount(), 0);
}

Test(OneShotRequests, needAKeyWhereTheyMayNotBeRepeated)
{
    OwnerTestFixture bench;
    const auto refused = bench.ask(keyed("booking", {}, "truck"));
    cr_assert(refused->error && refused->error->kind() == ErrorKind::MalformedRequest);
    cr_assert(bench.dispatcher.sent.empty());
}

Test(OneShotRequests, streamAChatCompletionAndEndWithTheirCaller)
{
    OwnerTestFixture bench;
    OwnerRequest chat = OwnerTestFixture::request(OwnerOperation::ChatCompletion, {});
    chat.body = R"({"model":"assistant","stream":true,"messages":[{"role":"user","content":"x"}]})";
    chat.stream = true;
    const auto stream = bench.ask(chat);
    bench.dispatcher.chunk(bench.latest(), "data: {}\n\n");
    bench.dispatcher.answer(bench.latest(), "done");
    cr_assert(stream->ended && stream->body == "data: {}\n\n");
    bench.ask(chat);
    bench.owner->callerGone(bench.lastHandle);
    cr_assert_eq(bench.dispatcher.cancelled.at(bench.latest()), ErrorKind::CallerGone);
    cr_assert_eq(bench.owner->runningCount(), 0);
}

#include "OwnerTestFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

OwnerRequest requestWithKey(const QByteArray &route, const QString &idempotencyKey,
                            const QByteArray &body)
{
    OwnerRequest request = OwnerTestFixture::request(OwnerOperation::ServiceCall, {});
    request.route = QString::fromUtf8(route);
    request.idempotencyKey = idempotencyKey;
    request.method = "POST";
    request.path = "/bookings";
    request.body = body;
    return request;
}

const QString key = QStringLiteral("order-17");

} // namespace

Test(RequestClaim, runsOnceAndReturnsTheRecordedAnswer)
{
    OwnerTestFixture fixture;
    const OwnerRequest request = requestWithKey("booking", key, "truck");
    const auto first = fixture.send(request);
    const auto joined = fixture.send(request);
    fixture.dispatcher.answer(fixture.latest(), "booked");
    fixture.timers.runPosted();
    fixture.restart();
    const auto later = fixture.send(request);
    cr_assert(first->ended && joined->ended && later->body == first->body);
    cr_assert_eq(fixture.dispatcher.sent.size(), 1);
    cr_assert_not(fixture.dispatcher.sent[0].request.idempotent);
    const auto other = fixture.send(requestWithKey("booking", key, "two trucks"));
    cr_assert(other->error && other->error->kind() == ErrorKind::CallConflict);
}

Test(RequestClaim, isUnknownAfterItsOwnerWasLostAndNeverRunsAgain)
{
    OwnerTestFixture fixture;
    const OwnerRequest request = requestWithKey("booking", key, "truck");
    fixture.send(request);
    fixture.restart();
    for (int tries = 0; tries < 2; ++tries) {
        const auto again = fixture.send(request);
        cr_assert(again->error && again->error->executed() == Executed::Unknown);
    }
    cr_assert_eq(fixture.dispatcher.sent.size(), 1);
}

Test(RequestClaim, isFreeAgainWhenItDidNotRun)
{
    OwnerTestFixture fixture;
    const OwnerRequest request = requestWithKey("booking", key, "truck");
    const auto refused = fixture.send(request);
    DispatchResult notRun;
    notRun.error = ErrorKind::BackendUnavailable;
    fixture.dispatcher.finish(fixture.latest(), notRun);
    fixture.timers.runPosted();
    cr_assert(refused->error && refused->error->executed() == Executed::No);
    cr_assert_eq(fixture.owner->claimCount(), 0);
    fixture.send(request);
    cr_assert_eq(fixture.dispatcher.sent.size(), 2);
}

Test(RequestClaim, refusesUnknownKeysInASlotThatLostState)
{
    OwnerTestFixture fixture;
    const OwnerRequest request = requestWithKey("booking", key, "truck");
    const SlotIndex slot =
            claimAggregate(QStringLiteral("zone-a"), request.team, request.idempotencyKey).slot();
    fixture.journal.stepDown(slot);
    fixture.journal.activate(slot, SlotStatus::ActiveIncomplete);
    const auto refused = fixture.send(request);
    cr_assert(refused->error && refused->error->kind() == ErrorKind::StateLost);
    cr_assert_eq(refused->error->executed(), Executed::Unknown);
    cr_assert(fixture.dispatcher.sent.empty());
}

Test(RequestClaim, isScopedByTeamAndOnOpenRoutesOnlyByKey)
{
    OwnerTestFixture fixture;
    OwnerRequest request = requestWithKey("booking", key, "truck");
    fixture.send(request);
    request.team = QStringLiteral("other");
    fixture.send(request);
    cr_assert_eq(fixture.dispatcher.sent.size(), 2, "two teams may use the same key");
    OwnerRequest anonymous = requestWithKey("open-booking", key, "truck");
    anonymous.team.clear();
    fixture.send(anonymous);
    fixture.send(anonymous);
    cr_assert_eq(fixture.dispatcher.sent.size(), 3);
}

Test(RequestClaim, isForgottenAfterItsRetention)
{
    OwnerTestFixture fixture;
    fixture.send(requestWithKey("booking", key, "truck"));
    fixture.dispatcher.answer(fixture.latest(), "booked");
    fixture.timers.advance(23h);
    cr_assert_eq(fixture.owner->claimCount(), 1);
    fixture.timers.advance(2h);
    cr_assert_eq(fixture.owner->claimCount(), 0);
}

Test(OneShotRequests, needAnIdempotencyKeyUnlessTheRouteIsIdempotent)
{
    OwnerTestFixture fixture;
    const auto refused = fixture.send(requestWithKey("booking", {}, "truck"));
    cr_assert(refused->error && refused->error->kind() == ErrorKind::MalformedRequest);
    cr_assert(fixture.dispatcher.sent.empty());
}

Test(OneShotRequests, streamAChatCompletionAndEndWithTheirCaller)
{
    OwnerTestFixture fixture;
    OwnerRequest chat = OwnerTestFixture::request(OwnerOperation::ChatCompletion, {});
    chat.body = R"({"model":"assistant","stream":true,"messages":[{"role":"user","content":"x"}]})";
    chat.stream = true;
    const auto stream = fixture.send(chat);
    fixture.dispatcher.chunk(fixture.latest(), "data: {}\n\n");
    fixture.dispatcher.answer(fixture.latest(), "done");
    cr_assert(stream->ended && stream->body == "data: {}\n\n");
    fixture.send(chat);
    fixture.owner->callerGone(fixture.lastHandle);
    cr_assert_eq(fixture.dispatcher.cancelled.at(fixture.latest()), ErrorKind::CallerGone);
    cr_assert_eq(fixture.owner->runningCount(), 0);
}

// Guards against events of two engines in one stream when the call is run again.
Test(OneShotRequests, joinNoSecondRunToAStream)
{
    OwnerTestFixture fixture;
    OwnerRequest chat = OwnerTestFixture::request(OwnerOperation::ChatCompletion, {});
    chat.body = R"({"model":"assistant","stream":true,"messages":[{"role":"user","content":"x"}]})";
    chat.stream = true;
    const auto stream = fixture.send(chat);
    const DispatchHandle handle = fixture.latest();
    fixture.dispatcher.open.at(handle).started(QStringLiteral("e0"));
    fixture.dispatcher.chunk(handle, "data: {\"a\":1}\n\n");
    fixture.dispatcher.open.at(handle).started(QStringLiteral("e1"));
    fixture.dispatcher.chunk(handle, "data: {\"a\":2}\n\ndata: [DONE]\n\n");
    fixture.dispatcher.answer(handle, "second");
    cr_assert(stream->error && stream->error->kind() == ErrorKind::BackendFailed);
    cr_assert(stream->body == "data: {\"a\":1}\n\n");
}

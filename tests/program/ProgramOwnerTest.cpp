#include "OwnerTestFixture.h"

#include <criterion/criterion.h>

#include <QJsonArray>

using namespace lacewingmux;
using namespace std::chrono_literals;

Test(ProgramOwner, runsCallsInTheOrderOfTheirNumbers)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    const auto second = fixture.send(OwnerTestFixture::modelCall(program, 2, "two"));
    cr_assert(fixture.dispatcher.sent.empty());
    const auto first = fixture.send(OwnerTestFixture::modelCall(program, 1, "one"));
    cr_assert_eq(fixture.dispatcher.sent.size(), 1);
    fixture.dispatcher.answer(fixture.latest(), "answer one");
    fixture.timers.runPosted();
    cr_assert(first->ended && first->body.contains("answer one"));
    cr_assert_eq(fixture.dispatcher.sent.size(), 2);
    const QByteArray body = fixture.dispatcher.sent.back().request.body;
    const QJsonArray messages =
            QJsonDocument::fromJson(body).object().value(QLatin1String("messages")).toArray();
    cr_assert_eq(messages.size(), 3);
    cr_assert(messages.at(1).toObject().value(QLatin1String("content")).toString()
              == QLatin1String("answer one"));
    fixture.dispatcher.answer(fixture.latest(), "answer two");
    fixture.timers.runPosted();
    cr_assert(second->ended && second->body.contains("answer two"));
}

Test(ProgramOwner, dispatchesOnlyOnceTheClaimIsCommitted)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    fixture.journal.holdCommits();
    const auto received =
            fixture.send(OwnerTestFixture::serviceCall(program, 1, "booking", "a truck"));
    cr_assert(fixture.dispatcher.sent.empty());
    fixture.journal.releaseCommits();
    fixture.timers.runPosted();
    cr_assert_eq(fixture.dispatcher.sent.size(), 1);
    fixture.journal.holdCommits();
    fixture.dispatcher.answer(fixture.latest(), "booked");
    fixture.timers.runPosted();
    cr_assert_not(received->isDone(), "an answer is released only after its commit");
    fixture.journal.releaseCommits();
    fixture.timers.runPosted();
    cr_assert(received->ended);
}

Test(ProgramOwner, returnsTheRecordedAnswerAndRefusesOtherContent)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    const OwnerRequest call = OwnerTestFixture::serviceCall(program, 1, "booking", "a truck");
    const auto first = fixture.send(call);
    const auto joined = fixture.send(call);
    fixture.dispatcher.answer(fixture.latest(), "booked");
    fixture.timers.runPosted();
    const auto again = fixture.send(call);
    cr_assert(first->ended && joined->body == first->body && again->body == first->body);
    cr_assert_eq(fixture.dispatcher.sent.size(), 1);
    const auto other =
            fixture.send(OwnerTestFixture::serviceCall(program, 1, "booking", "two trucks"));
    cr_assert(other->error && other->error->kind() == ErrorKind::CallConflict);
}

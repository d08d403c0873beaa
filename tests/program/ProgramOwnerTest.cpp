#include "OwnerTestFixture.h"

#include <criterion/criterion.h>

#include <QJsonArray>

using namespace lacewingmux;
using namespace std::chrono_literals;

Test(ProgramOwner, runsCallsInTheOrderOfTheirNumbers)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    const auto second = bench.ask(OwnerTestFixture::modelCall(program, 2, "two"));
    cr_assert(bench.dispatcher.sent.empty());
    const auto first = bench.ask(OwnerTestFixture::modelCall(program, 1, "one"));
    cr_assert_eq(bench.dispatcher.sent.size(), 1);
    bench.dispatcher.answer(bench.latest(), "answer one");
    bench.timers.runPosted();
    cr_assert(first->ended && first->body.contains("answer one"));
    cr_assert_eq(bench.dispatcher.sent.size(), 2);
    const QByteArray body = bench.dispatcher.sent.back().request.body;
    const QJsonArray messages =
            QJsonDocument::fromJson(body).object().value(QLatin1String("messages")).toArray();
    cr_assert_eq(messages.size(), 3);
    cr_assert(messages.at(1).toObject().value(QLatin1String("content")).toString()
              == QLatin1String("answer one"));
    bench.dispatcher.answer(bench.latest(), "answer two");
    bench.timers.runPosted();
    cr_assert(second->ended && second->body.contains("answer two"));
}

Test(ProgramOwner, dispatchesOnlyOnceTheClaimIsCommitted)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    bench.journal.holdCommits();
    const auto received =
            bench.ask(OwnerTestFixture::serviceCall(program, 1, "booking", "a truck"));
    cr_assert(bench.dispatcher.sent.empty());
    bench.journal.releaseCommits();
    bench.timers.runPosted();
    cr_assert_eq(bench.dispatcher.sent.size(), 1);
    bench.journal.holdCommits();
    bench.dispatcher.answer(bench.latest(), "booked");
    bench.timers.runPosted();
    cr_assert_not(received->isDone(), "an answer is released only after its commit");
    bench.journal.releaseCommits();
    bench.timers.runPosted();
    cr_assert(received->ended);
}

Test(ProgramOwner, returnsTheRecordedAnswerAndRefusesOtherContent)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    const OwnerRequest call = OwnerTestFixture::serviceCall(program, 1, "booking", "a truck");
    const auto first = bench.ask(call);
    const auto joined = bench.ask(call);
    bench.dispatcher.answer(bench.latest(), "booked");
    bench.timers.runPosted();
    const auto again = bench.ask(call);
    cr_assert(first->ended && joined->body == first->body && again->body == first->body);
    cr_assert_eq(bench.dispatcher.sent.size(), 1);
    const auto other =
            bench.ask(OwnerTestFixture::serviceCall(program, 1, "booking", "two trucks"));
    cr_assert(other->error && other->error->kind() == ErrorKind::CallConflict);
}

#include "OwnerTestFixture.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

DispatchResult failure(ErrorKind kind, Executed executed)
{
    DispatchResult result;
    result.error = kind;
    result.executed = executed;
    return result;
}

void assertRefused(const ReceivedResponse &received, ErrorKind kind, Executed executed)
{
    cr_assert(received.error.has_value(), "no refusal came; status %d", received.status);
    cr_assert_eq(received.error->kind(), kind, "kind %d: %s",
                 static_cast<int>(received.error->kind()), received.error->what());
    cr_assert_eq(received.error->executed(), executed);
    cr_assert_eq(received.terminations, 1);
}

} // namespace

Test(ProgramTakeover, answersUnknownForALostNonIdempotentCallAndGoesOn)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    const OwnerRequest booking = OwnerTestFixture::serviceCall(program, 1, "booking", "a truck");
    const auto lost = fixture.send(booking);
    const DispatchHandle running = fixture.latest();
    fixture.restart();
    assertRefused(*fixture.send(booking), ErrorKind::ExecutionUnknown, Executed::Unknown);
    fixture.dispatcher.answer(running, "too late");
    cr_assert_not(lost->isDone());
    const auto next = fixture.send(OwnerTestFixture::modelCall(program, 2, "go on"));
    fixture.dispatcher.answer(fixture.latest(), "fine");
    fixture.timers.runPosted();
    cr_assert(next->ended);
    cr_assert_eq(fixture.dispatcher.sent.size(), 2);
}

Test(ProgramTakeover, dispatchesAnIdempotentCallAgainAtOnce)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    const OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    fixture.send(call);
    fixture.restart();
    cr_assert_eq(fixture.dispatcher.sent.size(), 2);
    cr_assert(fixture.dispatcher.sent[0].request.body == fixture.dispatcher.sent[1].request.body);
    const auto joined = fixture.send(call);
    fixture.dispatcher.answer(fixture.latest(), "hello back");
    fixture.timers.runPosted();
    cr_assert(joined->ended);
}

Test(ProgramTakeover, neverSaysNotRunOfACallThatAnEarlierOwnerMayHaveRun)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    const OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    fixture.send(call);
    fixture.restart();
    const auto joined = fixture.send(call);
    fixture.dispatcher.finish(fixture.latest(), failure(ErrorKind::QueueTimeout, Executed::No));
    fixture.timers.runPosted();
    assertRefused(*joined, ErrorKind::QueueTimeout, Executed::Unknown);
}

Test(ProgramTakeover, failsWaitingCallersWhenTheSlotIsLost)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    fixture.journal.holdCommits();
    const auto undecided =
            fixture.send(OwnerTestFixture::serviceCall(program, 1, "booking", "a truck"));
    fixture.journal.stepDownAll();
    fixture.journal.releaseCommits();
    fixture.timers.runPosted();
    assertRefused(*undecided, ErrorKind::OwnerUnavailable, Executed::Unknown);
    cr_assert(fixture.dispatcher.sent.empty(), "a claim that stepped down is never dispatched");
    cr_assert_eq(fixture.owner->programCount(), 0);
    assertRefused(*fixture.send(OwnerTestFixture::modelCall(program, 1, "x")),
                  ErrorKind::OwnerUnavailable, Executed::Unknown);
}

Test(ProgramTakeover, saysThatStateWasLostInsteadOfTakingItForNew)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    OwnerTestFixture other;
    const SlotIndex slot = programAggregate(program)->slot();
    other.journal.stepDown(slot);
    other.journal.activate(slot, SlotStatus::ActiveIncomplete);
    assertRefused(*other.send(OwnerTestFixture::modelCall(program, 3, "x")), ErrorKind::StateLost,
                  Executed::Unknown);
}

Test(ProgramCalls, releasesANumberWhoseCallDidNotRun)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    const OwnerRequest booking = OwnerTestFixture::serviceCall(program, 1, "booking", "a truck");
    const auto refused = fixture.send(booking);
    fixture.dispatcher.finish(fixture.latest(), failure(ErrorKind::QueueTimeout, Executed::No));
    fixture.timers.runPosted();
    assertRefused(*refused, ErrorKind::QueueTimeout, Executed::No);
    const auto again = fixture.send(booking);
    fixture.dispatcher.answer(fixture.latest(), "booked");
    fixture.timers.runPosted();
    cr_assert(again->ended);
}

Test(ProgramCalls, keepsAFailureOfANonIdempotentCallForGood)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    const OwnerRequest booking = OwnerTestFixture::serviceCall(program, 1, "booking", "a truck");
    fixture.send(booking);
    fixture.dispatcher.finish(fixture.latest(),
                              failure(ErrorKind::BackendTimeout, Executed::Unknown));
    fixture.timers.runPosted();
    assertRefused(*fixture.send(booking), ErrorKind::BackendTimeout, Executed::Unknown);
    cr_assert_eq(fixture.dispatcher.sent.size(), 1);
}

Test(ProgramCalls, refusesTooFarAheadAtOnceAndALateTurnAfterItsTimeout)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    assertRefused(*fixture.send(OwnerTestFixture::modelCall(program, 2 + maximumCallsAhead, "far")),
                  ErrorKind::CallOutOfOrder, Executed::No);
    OwnerRequest early = OwnerTestFixture::modelCall(program, 2, "early");
    early.timeout = 5s;
    const auto waiting = fixture.send(early);
    fixture.timers.advance(6s);
    assertRefused(*waiting, ErrorKind::CallOutOfOrder, Executed::No);
    fixture.send(OwnerTestFixture::modelCall(program, 1, "one"));
    fixture.dispatcher.answer(fixture.latest(), "1");
    fixture.timers.runPosted();
    cr_assert_eq(fixture.dispatcher.sent.size(), 1, "a refused call must not start later");
}

Test(ProgramCalls, goOnWithoutTheirCaller)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    fixture.send(OwnerTestFixture::modelCall(program, 1, "one"));
    fixture.owner->callerGone(fixture.lastHandle);
    fixture.send(OwnerTestFixture::modelCall(program, 2, "two"));
    fixture.owner->callerGone(fixture.lastHandle);
    fixture.dispatcher.answer(fixture.latest(), "first");
    fixture.timers.runPosted();
    OwnerRequest fetch = OwnerTestFixture::request(OwnerOperation::FetchCall, program);
    fetch.callNumber = 2;
    const auto fetched = fixture.send(fetch);
    fixture.dispatcher.answer(fixture.latest(), "second");
    fixture.timers.runPosted();
    cr_assert(fetched->body.contains("second"));
}

Test(ProgramCalls, showChunksButHoldTheEndUntilTheCommit)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    call.stream = true;
    const auto stream = fixture.send(call);
    const auto whole = fixture.send(call);
    fixture.dispatcher.chunk(fixture.latest(), "data: {\"a\":1}\n\ndata: [DO");
    fixture.dispatcher.chunk(fixture.latest(), "NE]\n\n");
    cr_assert(stream->body == "data: {\"a\":1}\n\n");
    fixture.journal.holdCommits();
    fixture.dispatcher.answer(fixture.latest(), "answer");
    fixture.timers.runPosted();
    cr_assert_not(stream->isDone());
    fixture.journal.releaseCommits();
    fixture.timers.runPosted();
    cr_assert(stream->ended && stream->body.endsWith("data: [DONE]\n\n"));
    cr_assert(whole->ended && whole->body.contains("answer"));
}

// Guards against events of two engines in one stream when the call is run again.
Test(ProgramCalls, joinNoSecondRunToAStream)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    call.stream = true;
    const auto stream = fixture.send(call);
    const auto whole = fixture.send(call);
    const DispatchHandle handle = fixture.latest();
    fixture.dispatcher.open.at(handle).started(QStringLiteral("e0"));
    fixture.dispatcher.chunk(handle, "data: {\"a\":1}\n\ndata: [DO");
    fixture.dispatcher.open.at(handle).started(QStringLiteral("e1"));
    fixture.dispatcher.chunk(handle, "data: {\"a\":2}\n\ndata: [DONE]\n\n");
    fixture.dispatcher.answer(handle, "second");
    fixture.timers.runPosted();
    assertRefused(*stream, ErrorKind::BackendFailed, Executed::Yes);
    cr_assert(stream->body == "data: {\"a\":1}\n\n");
    cr_assert(whole->ended && whole->body.contains("second"));
}

Test(ProgramCalls, failAStreamCleanlyWhenTheCommitFails)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    call.stream = true;
    const auto stream = fixture.send(call);
    fixture.dispatcher.chunk(fixture.latest(), "data: {}\n\n");
    fixture.journal.holdCommits();
    fixture.dispatcher.answer(fixture.latest(), "answer");
    fixture.journal.stepDownAll();
    fixture.journal.releaseCommits();
    fixture.timers.runPosted();
    assertRefused(*stream, ErrorKind::OwnerUnavailable, Executed::Unknown);
}

Test(ProgramBudget, isSharedWithSubAgentsAndReservedBeforeTheCall)
{
    OwnerTestFixture fixture;
    auto configuration = OwnerTestFixture::makeConfiguration();
    configuration->allowances[0].programBudgetTokens = 200; // one call may use 145
    fixture.configuration = configuration;
    fixture.restart();
    const QString root = fixture.open();
    const QString subAgent = fixture.open(root);
    cr_assert_eq(programAggregate(root)->slot(), programAggregate(subAgent)->slot());
    fixture.send(OwnerTestFixture::modelCall(root, 1, "x"));
    const auto refused = fixture.send(OwnerTestFixture::modelCall(subAgent, 1, "x"));
    assertRefused(*refused, ErrorKind::BudgetExhausted, Executed::No);
    fixture.dispatcher.answer(fixture.latest(), "short", 10, 5);
    fixture.timers.runPosted();
    fixture.send(OwnerTestFixture::modelCall(subAgent, 1, "x"));
    cr_assert_eq(fixture.dispatcher.sent.size(), 2,
                 "the finished call released the tokens it did not use");
    const QJsonObject sent =
            QJsonDocument::fromJson(fixture.dispatcher.sent.back().request.body).object();
    cr_assert_eq(sent.value(QLatin1String("max_tokens")).toInt(), 100);
}

Test(ProgramBudget, failsAnAnswerBeyondTheBoundAndChargesNoMoreThanTheLimit)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    const auto received = fixture.send(OwnerTestFixture::modelCall(program, 1, "x"));
    fixture.dispatcher.answer(fixture.latest(), "endless", 10, 1000000);
    fixture.timers.runPosted();
    assertRefused(*received, ErrorKind::BackendFailed, Executed::Yes);
    const QJsonObject budget = fixture.history(program).value(QLatin1String("budget")).toObject();
    cr_assert_leq(budget.value(QLatin1String("spent")).toInt(), 4000);
}

Test(ProgramLimits, endALoopingProgramAtItsTurnLimit)
{
    OwnerTestFixture fixture;
    auto configuration = OwnerTestFixture::makeConfiguration();
    configuration->allowances[0].programTurnLimit = 2;
    fixture.configuration = configuration;
    fixture.restart();
    const QString program = fixture.open();
    for (std::uint32_t number = 1; number <= 2; ++number) {
        fixture.send(OwnerTestFixture::modelCall(program, number, "again"));
        fixture.dispatcher.answer(fixture.latest(), "loop");
        fixture.timers.runPosted();
    }
    for (int tries = 0; tries < 2; ++tries)
        assertRefused(*fixture.send(OwnerTestFixture::modelCall(program, 3, "again")),
                      ErrorKind::TurnLimitReached, Executed::No);
    cr_assert_eq(fixture.dispatcher.ended.size(), 1);
}

Test(ProgramLimits, endIdleAndOverlongProgramsWithTheirSubAgents)
{
    OwnerTestFixture fixture;
    const QString idle = fixture.open();
    const QString busy = fixture.open();
    const QString subAgent = fixture.open(busy);
    OwnerRequest endless = OwnerTestFixture::modelCall(subAgent, 1, "endless");
    endless.timeout = 2h;
    const auto running = fixture.send(endless);
    fixture.timers.advance(16min);
    assertRefused(*fixture.send(OwnerTestFixture::modelCall(idle, 1, "x")),
                  ErrorKind::ProgramTimeout, Executed::No);
    cr_assert_not(running->isDone());
    fixture.timers.advance(45min);
    assertRefused(*running, ErrorKind::ProgramTimeout, Executed::No);
    assertRefused(*fixture.send(OwnerTestFixture::modelCall(subAgent, 1, "x")),
                  ErrorKind::ProgramTimeout, Executed::No);
}

Test(ProgramEnd, releasesEngineMemoryAlsoAfterATakeoverAndLeavesNothing)
{
    OwnerTestFixture fixture;
    const QString root = fixture.open();
    const QString subAgent = fixture.open(root);
    fixture.send(OwnerTestFixture::modelCall(subAgent, 1, "x"));
    fixture.dispatcher.answer(fixture.latest(), "answer");
    fixture.timers.runPosted();
    cr_assert(fixture.send(OwnerTestFixture::request(OwnerOperation::EndProgram, root))->ended);
    cr_assert_eq(fixture.dispatcher.ended.size(), 2);
    fixture.dispatcher.confirm(root);
    fixture.timers.runPosted();
    fixture.restart();
    cr_assert_eq(fixture.dispatcher.ended.size(), 3);
    cr_assert(fixture.dispatcher.ended.back() == subAgent);
    fixture.dispatcher.confirm(subAgent);
    fixture.timers.runPosted();
    const SlotIndex slot = programAggregate(root)->slot();
    const auto records = fixture.journal.records(slot).toRecords();
    cr_assert_eq(records.size(), 1);
    cr_assert_eq(records.front().entries.size(), 1, "an ended program is one compacted entry");
    cr_assert(fixture.history(root).value(QLatin1String("ended")).toBool());
    fixture.timers.advance(16min);
    cr_assert_eq(fixture.owner->programCount(), 0);
    cr_assert_eq(fixture.owner->pendingRequestCount(), 0);
    cr_assert(fixture.journal.records(slot).toRecords().empty());
}

Test(ProgramKeys, endQueuedWorkAndStreamsWhenWithdrawn)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    call.stream = true;
    const auto stream = fixture.send(call);
    const auto queued = fixture.send(OwnerTestFixture::modelCall(program, 2, "next"));
    fixture.dispatcher.chunk(fixture.latest(), "data: {}\n\n");
    fixture.dispatcher.finishesWhenCancelled = false;
    fixture.owner->withdrawKey(QStringLiteral("key-1"));
    fixture.timers.runPosted();
    assertRefused(*stream, ErrorKind::KeyWithdrawn, Executed::Unknown);
    assertRefused(*queued, ErrorKind::KeyWithdrawn, Executed::No);
    cr_assert_eq(fixture.dispatcher.cancelled.size(), 1);
}

Test(ProgramKeys, serveOnlyTheTeamOfTheProgram)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    OwnerRequest foreign = OwnerTestFixture::modelCall(program, 1, "hello");
    foreign.team = QStringLiteral("other");
    assertRefused(*fixture.send(foreign), ErrorKind::NotPermitted, Executed::No);
    foreign.operation = OwnerOperation::FetchHistory;
    assertRefused(*fixture.send(foreign), ErrorKind::NotPermitted, Executed::No);
}

Test(ProgramStop, finishesWhatRunsAndRefusesWhatIsNew)
{
    OwnerTestFixture fixture;
    const QString program = fixture.open();
    const auto running = fixture.send(OwnerTestFixture::modelCall(program, 1, "one"));
    fixture.owner->beginDraining();
    cr_assert_eq(fixture.owner->runningCount(), 1);
    fixture.dispatcher.answer(fixture.latest(), "done");
    fixture.timers.runPosted();
    cr_assert(running->ended);
    cr_assert_eq(fixture.owner->runningCount(), 0);
    assertRefused(*fixture.send(OwnerTestFixture::modelCall(program, 2, "two")),
                  ErrorKind::ShuttingDown, Executed::No);
}

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

void assertRefused(const Received &received, ErrorKind kind, Executed executed)
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
    OwnerTestFixture bench;
    const QString program = bench.open();
    const OwnerRequest booking = OwnerTestFixture::serviceCall(program, 1, "booking", "a truck");
    const auto lost = bench.ask(booking);
    const DispatchHandle running = bench.latest();
    bench.restart();
    assertRefused(*bench.ask(booking), ErrorKind::ExecutionUnknown, Executed::Unknown);
    bench.dispatcher.answer(running, "too late");
    cr_assert_not(lost->isDone());
    const auto next = bench.ask(OwnerTestFixture::modelCall(program, 2, "go on"));
    bench.dispatcher.answer(bench.latest(), "fine");
    bench.timers.runPosted();
    cr_assert(next->ended);
    cr_assert_eq(bench.dispatcher.sent.size(), 2);
}

Test(ProgramTakeover, dispatchesAnIdempotentCallAgainAtOnce)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    const OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    bench.ask(call);
    bench.restart();
    cr_assert_eq(bench.dispatcher.sent.size(), 2);
    cr_assert(bench.dispatcher.sent[0].request.body == bench.dispatcher.sent[1].request.body);
    const auto joined = bench.ask(call);
    bench.dispatcher.answer(bench.latest(), "hello back");
    bench.timers.runPosted();
    cr_assert(joined->ended);
}

Test(ProgramTakeover, neverSaysNotRunOfACallThatAnEarlierOwnerMayHaveRun)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    const OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    bench.ask(call);
    bench.restart();
    const auto joined = bench.ask(call);
    bench.dispatcher.finish(bench.latest(), failure(ErrorKind::QueueTimeout, Executed::No));
    bench.timers.runPosted();
    assertRefused(*joined, ErrorKind::QueueTimeout, Executed::Unknown);
}

Test(ProgramTakeover, failsWaitingCallersWhenTheSlotIsLost)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    bench.journal.holdCommits();
    const auto undecided =
            bench.ask(OwnerTestFixture::serviceCall(program, 1, "booking", "a truck"));
    bench.journal.stepDownAll();
    bench.journal.releaseCommits();
    bench.timers.runPosted();
    assertRefused(*undecided, ErrorKind::OwnerUnavailable, Executed::Unknown);
    cr_assert(bench.dispatcher.sent.empty(), "a claim that stepped down is never dispatched");
    cr_assert_eq(bench.owner->programCount(), 0);
    assertRefused(*bench.ask(OwnerTestFixture::modelCall(program, 1, "x")),
                  ErrorKind::OwnerUnavailable, Executed::Unknown);
}

Test(ProgramTakeover, saysThatStateWasLostInsteadOfTakingItForNew)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    OwnerTestFixture other;
    const SlotIndex slot = programAggregate(program)->slot();
    other.journal.stepDown(slot);
    other.journal.activate(slot, SlotStatus::ActiveIncomplete);
    assertRefused(*other.ask(OwnerTestFixture::modelCall(program, 3, "x")), ErrorKind::StateLost,
                  Executed::Unknown);
}

Test(ProgramCalls, releasesANumberWhoseCallDidNotRun)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    const OwnerRequest booking = OwnerTestFixture::serviceCall(program, 1, "booking", "a truck");
    const auto refused = bench.ask(booking);
    bench.dispatcher.finish(bench.latest(), failure(ErrorKind::QueueTimeout, Executed::No));
    bench.timers.runPosted();
    assertRefused(*refused, ErrorKind::QueueTimeout, Executed::No);
    const auto again = bench.ask(booking);
    bench.dispatcher.answer(bench.latest(), "booked");
    bench.timers.runPosted();
    cr_assert(again->ended);
}

Test(ProgramCalls, keepsAFailureOfANonIdempotentCallForGood)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    const OwnerRequest booking = OwnerTestFixture::serviceCall(program, 1, "booking", "a truck");
    bench.ask(booking);
    bench.dispatcher.finish(bench.latest(), failure(ErrorKind::BackendTimeout, Executed::Unknown));
    bench.timers.runPosted();
    assertRefused(*bench.ask(booking), ErrorKind::BackendTimeout, Executed::Unknown);
    cr_assert_eq(bench.dispatcher.sent.size(), 1);
}

Test(ProgramCalls, refusesTooFarAheadAtOnceAndALateTurnAfterItsTimeout)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    assertRefused(*bench.ask(OwnerTestFixture::modelCall(program, 2 + maximumCallsAhead, "far")),
                  ErrorKind::CallOutOfOrder, Executed::No);
    OwnerRequest early = OwnerTestFixture::modelCall(program, 2, "early");
    early.timeout = 5s;
    const auto waiting = bench.ask(early);
    bench.timers.advance(6s);
    assertRefused(*waiting, ErrorKind::CallOutOfOrder, Executed::No);
    bench.ask(OwnerTestFixture::modelCall(program, 1, "one"));
    bench.dispatcher.answer(bench.latest(), "1");
    bench.timers.runPosted();
    cr_assert_eq(bench.dispatcher.sent.size(), 1, "a refused call must not start later");
}

Test(ProgramCalls, goOnWithoutTheirCaller)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    bench.ask(OwnerTestFixture::modelCall(program, 1, "one"));
    bench.owner->callerGone(bench.lastHandle);
    bench.ask(OwnerTestFixture::modelCall(program, 2, "two"));
    bench.owner->callerGone(bench.lastHandle);
    bench.dispatcher.answer(bench.latest(), "first");
    bench.timers.runPosted();
    OwnerRequest fetch = OwnerTestFixture::request(OwnerOperation::FetchCall, program);
    fetch.callNumber = 2;
    const auto fetched = bench.ask(fetch);
    bench.dispatcher.answer(bench.latest(), "second");
    bench.timers.runPosted();
    cr_assert(fetched->body.contains("second"));
}

Test(ProgramCalls, showChunksButHoldTheEndUntilTheCommit)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    call.stream = true;
    const auto stream = bench.ask(call);
    const auto whole = bench.ask(call);
    bench.dispatcher.chunk(bench.latest(), "data: {\"a\":1}\n\ndata: [DO");
    bench.dispatcher.chunk(bench.latest(), "NE]\n\n");
    cr_assert(stream->body == "data: {\"a\":1}\n\n");
    bench.journal.holdCommits();
    bench.dispatcher.answer(bench.latest(), "answer");
    bench.timers.runPosted();
    cr_assert_not(stream->isDone());
    bench.journal.releaseCommits();
    bench.timers.runPosted();
    cr_assert(stream->ended && stream->body.endsWith("data: [DONE]\n\n"));
    cr_assert(whole->ended && whole->body.contains("answer"));
}

Test(ProgramCalls, failAStreamCleanlyWhenTheCommitFails)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    call.stream = true;
    const auto stream = bench.ask(call);
    bench.dispatcher.chunk(bench.latest(), "data: {}\n\n");
    bench.journal.holdCommits();
    bench.dispatcher.answer(bench.latest(), "answer");
    bench.journal.stepDownAll();
    bench.journal.releaseCommits();
    bench.timers.runPosted();
    assertRefused(*stream, ErrorKind::OwnerUnavailable, Executed::Unknown);
}

Test(ProgramBudget, isSharedWithSubAgentsAndReservedBeforeTheCall)
{
    OwnerTestFixture bench;
    auto configuration = OwnerTestFixture::makeConfiguration();
    configuration->allowances[0].programBudgetTokens = 200; // one call may use 145
    bench.configuration = configuration;
    bench.restart();
    const QString root = bench.open();
    const QString subAgent = bench.open(root);
    cr_assert_eq(programAggregate(root)->slot(), programAggregate(subAgent)->slot());
    bench.ask(OwnerTestFixture::modelCall(root, 1, "x"));
    const auto refused = bench.ask(OwnerTestFixture::modelCall(subAgent, 1, "x"));
    assertRefused(*refused, ErrorKind::BudgetExhausted, Executed::No);
    bench.dispatcher.answer(bench.latest(), "short", 10, 5);
    bench.timers.runPosted();
    bench.ask(OwnerTestFixture::modelCall(subAgent, 1, "x"));
    cr_assert_eq(bench.dispatcher.sent.size(), 2, "the settled call gave back what it didn't use");
    const QJsonObject sent =
            QJsonDocument::fromJson(bench.dispatcher.sent.back().request.body).object();
    cr_assert_eq(sent.value(QLatin1String("max_tokens")).toInt(), 100);
}

Test(ProgramBudget, failsAnAnswerBeyondTheBoundAndChargesNoMoreThanTheLimit)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    const auto received = bench.ask(OwnerTestFixture::modelCall(program, 1, "x"));
    bench.dispatcher.answer(bench.latest(), "endless", 10, 1000000);
    bench.timers.runPosted();
    assertRefused(*received, ErrorKind::BackendFailed, Executed::Yes);
    const QJsonObject budget = bench.history(program).value(QLatin1String("budget")).toObject();
    cr_assert_leq(budget.value(QLatin1String("spent")).toInt(), 4000);
}

Test(ProgramLimits, endALoopingProgramAtItsTurnLimit)
{
    OwnerTestFixture bench;
    auto configuration = OwnerTestFixture::makeConfiguration();
    configuration->allowances[0].programTurnLimit = 2;
    bench.configuration = configuration;
    bench.restart();
    const QString program = bench.open();
    for (std::uint32_t number = 1; number <= 2; ++number) {
        bench.ask(OwnerTestFixture::modelCall(program, number, "again"));
        bench.dispatcher.answer(bench.latest(), "loop");
        bench.timers.runPosted();
    }
    for (int tries = 0; tries < 2; ++tries)
        assertRefused(*bench.ask(OwnerTestFixture::modelCall(program, 3, "again")),
                      ErrorKind::TurnLimitReached, Executed::No);
    cr_assert_eq(bench.dispatcher.ended.size(), 1);
}

Test(ProgramLimits, endIdleAndOverlongProgramsWithTheirSubAgents)
{
    OwnerTestFixture bench;
    const QString idle = bench.open();
    const QString busy = bench.open();
    const QString subAgent = bench.open(busy);
    OwnerRequest endless = OwnerTestFixture::modelCall(subAgent, 1, "endless");
    endless.timeout = 2h;
    const auto running = bench.ask(endless);
    bench.timers.advance(16min);
    assertRefused(*bench.ask(OwnerTestFixture::modelCall(idle, 1, "x")), ErrorKind::ProgramTimeout,
                  Executed::No);
    cr_assert_not(running->isDone());
    bench.timers.advance(45min);
    assertRefused(*running, ErrorKind::ProgramTimeout, Executed::No);
    assertRefused(*bench.ask(OwnerTestFixture::modelCall(subAgent, 1, "x")),
                  ErrorKind::ProgramTimeout, Executed::No);
}

Test(ProgramEnd, releasesEngineMemoryAlsoAfterATakeoverAndLeavesNothing)
{
    OwnerTestFixture bench;
    const QString root = bench.open();
    const QString subAgent = bench.open(root);
    bench.ask(OwnerTestFixture::modelCall(subAgent, 1, "x"));
    bench.dispatcher.answer(bench.latest(), "answer");
    bench.timers.runPosted();
    cr_assert(bench.ask(OwnerTestFixture::request(OwnerOperation::EndProgram, root))->ended);
    cr_assert_eq(bench.dispatcher.ended.size(), 2);
    bench.dispatcher.confirm(root);
    bench.timers.runPosted();
    bench.restart();
    cr_assert_eq(bench.dispatcher.ended.size(), 3);
    cr_assert(bench.dispatcher.ended.back() == subAgent);
    bench.dispatcher.confirm(subAgent);
    bench.timers.runPosted();
    const SlotIndex slot = programAggregate(root)->slot();
    const auto records = bench.journal.records(slot).toRecords();
    cr_assert_eq(records.size(), 1);
    cr_assert_eq(records.front().entries.size(), 1, "an ended program is one compacted entry");
    cr_assert(bench.history(root).value(QLatin1String("ended")).toBool());
    bench.timers.advance(16min);
    cr_assert_eq(bench.owner->programCount(), 0);
    cr_assert_eq(bench.owner->pendingRequestCount(), 0);
    cr_assert(bench.journal.records(slot).toRecords().empty());
}

Test(ProgramKeys, endQueuedWorkAndStreamsWhenWithdrawn)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    OwnerRequest call = OwnerTestFixture::modelCall(program, 1, "hello");
    call.stream = true;
    const auto stream = bench.ask(call);
    const auto queued = bench.ask(OwnerTestFixture::modelCall(program, 2, "next"));
    bench.dispatcher.chunk(bench.latest(), "data: {}\n\n");
    bench.dispatcher.finishesWhenCancelled = false;
    bench.owner->withdrawKey(QStringLiteral("key-1"));
    bench.timers.runPosted();
    assertRefused(*stream, ErrorKind::KeyWithdrawn, Executed::Unknown);
    assertRefused(*queued, ErrorKind::KeyWithdrawn, Executed::No);
    cr_assert_eq(bench.dispatcher.cancelled.size(), 1);
}

Test(ProgramKeys, serveOnlyTheTeamOfTheProgram)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    OwnerRequest foreign = OwnerTestFixture::modelCall(program, 1, "hello");
    foreign.team = QStringLiteral("other");
    assertRefused(*bench.ask(foreign), ErrorKind::NotPermitted, Executed::No);
    foreign.operation = OwnerOperation::FetchHistory;
    assertRefused(*bench.ask(foreign), ErrorKind::NotPermitted, Executed::No);
}

Test(ProgramStop, finishesWhatRunsAndRefusesWhatIsNew)
{
    OwnerTestFixture bench;
    const QString program = bench.open();
    const auto running = bench.ask(OwnerTestFixture::modelCall(program, 1, "one"));
    bench.owner->beginDraining();
    cr_assert_eq(bench.owner->runningCount(), 1);
    bench.dispatcher.answer(bench.latest(), "done");
    bench.timers.runPosted();
    cr_assert(running->ended);
    cr_assert_eq(bench.owner->runningCount(), 0);
    assertRefused(*bench.ask(OwnerTestFixture::modelCall(program, 2, "two")),
                  ErrorKind::ShuttingDown, Executed::No);
}

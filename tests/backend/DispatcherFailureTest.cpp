#include "backend/support/DispatcherFixture.h"
#include "backend/support/ScriptedServer.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <criterion/criterion.h>

#include <thread>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const QString crashText = QStringLiteral("zq-poison");

standin::EngineSettings slowEngine()
{
    standin::EngineSettings settings;
    settings.stepTime = 10ms;
    return settings;
}

int totalRuns(const DispatcherFixture &f, const QString &requestId)
{
    int runs = 0;
    for (const auto &engine : f.engines)
        runs += engine->runs(requestId);
    for (const auto &service : f.services)
        runs += service->runs(requestId);
    return runs;
}

} // namespace

Test(ReplicaDispatcher, returnsUsageAndReplica)
{
    DispatcherFixture f;
    f.addEngine();
    f.adopt();
    const auto &result =
            f.finish(f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello"))));
    cr_assert(result.completed);
    cr_assert_eq(result.outputTokens, 16);
    cr_assert(result.replica == QStringLiteral("e0"));
    cr_assert(result.zone == QStringLiteral("zone-a"));
}

Test(ReplicaDispatcher, aReplicaThatCrashesDuringAnIdempotentCallIsReplaced)
{
    DispatcherFixture f;
    f.addEngine(slowEngine());
    f.addEngine(slowEngine());
    f.adopt();
    const auto &call = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello")));
    f.loop.waitUntil([&] { return totalRuns(f, QStringLiteral("r1")) == 1; }, "the first run");
    f.engines[f.engines[0]->runs(QStringLiteral("r1")) == 1 ? 0 : 1]->crash();
    cr_assert(f.finish(call).completed);
    cr_assert_eq(call.startedAt.size(), 2);
    cr_assert_neq(call.startedAt[0], call.startedAt[1]);
    cr_assert_eq(f.coincidences.size(), 1);
}

// Guards against an owner that was paused while a call ran: when it continues, its connection to
// the replica is closed, and another VM may own the program and have gone on to later calls.
Test(ReplicaDispatcher, anIdempotentCallIsSentAgainOnlyByItsOwner)
{
    for (const bool isOwner : {false, true}) {
        DispatcherFixture f;
        int confirmations = 0;
        f.confirmOwnership = [&](const std::function<void()> &send) {
            ++confirmations;
            if (isOwner)
                send();
        };
        f.addEngine(slowEngine());
        f.addEngine(slowEngine());
        f.adopt();
        const auto &call = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello")));
        f.loop.waitUntil([&] { return totalRuns(f, QStringLiteral("r1")) == 1; }, "the first run");
        cr_assert_eq(confirmations, 0, "the call was dispatched just now");
        f.engines[f.engines[0]->runs(QStringLiteral("r1")) == 1 ? 0 : 1]->crash();
        f.loop.waitUntil([&] { return confirmations == 1; }, "the question");
        f.loop.runFor(200ms);
        if (!isOwner) {
            f.dispatcher.cancel(call.handle, ErrorKind::OwnerUnavailable);
            cr_assert(f.finish(call).executed == Executed::Unknown, "it may have run");
        }
        cr_assert_eq(f.finish(call).completed, isOwner);
        cr_assert_eq(call.startedAt.size(), isOwner ? 2 : 1);
    }
}

// Guards against an owner that is paused after it journaled a call: it reads the acknowledgement
// and dispatches the call when it continues, although its successor may have run it already.
Test(ReplicaDispatcher, aCallThatWasDecidedLongAgoIsSentOnlyByItsOwner)
{
    DispatcherFixture f;
    f.decisionAge = 1500ms;
    int confirmations = 0;
    f.confirmOwnership = [&](const std::function<void()> &) { ++confirmations; };
    f.addEngine(slowEngine());
    f.adopt();
    const auto &call = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello")));
    f.loop.waitUntil([&] { return confirmations == 1; }, "the question");
    f.loop.runFor(100ms);
    cr_assert(call.startedAt.empty());
    cr_assert_eq(totalRuns(f, QStringLiteral("r1")), 0);
}

Test(ReplicaDispatcher, aCallThatWaitedLongIsSentOnlyByItsOwner)
{
    DispatcherFixture f;
    int confirmations = 0;
    f.confirmOwnership = [&](const std::function<void()> &) { ++confirmations; };
    standin::EngineSettings settings;
    settings.stepTime = 30ms; // half a second a call
    f.addEngine(settings);
    f.replica(QStringLiteral("e0")).record.maxSequences = 1;
    f.adopt();
    const auto &first = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("one")));
    f.loop.waitUntil([&first] { return !first.startedAt.empty(); }, "the first call");
    const auto &second = f.dispatch(f.chat(QStringLiteral("r2"), QStringLiteral("two")));
    f.loop.runFor(250ms);
    cr_assert(f.finish(first).completed);
    f.loop.waitUntil([&] { return confirmations == 1; }, "the question");
    f.loop.runFor(100ms);
    cr_assert(second.startedAt.empty());
}

// Guards against an owner that is paused between the decision to send a call and the moment at
// which the connection to the replica is ready: when it continues, its successor may have run the
// call and gone on to later ones.
Test(ReplicaDispatcher, aCallWhoseConnectionIsReadyLateIsSentOnlyByItsOwner)
{
    for (const bool isOwner : {false, true}) {
        DispatcherFixture f;
        int confirmations = 0;
        f.confirmOwnership = [&](const std::function<void()> &send) {
            ++confirmations;
            if (isOwner)
                send();
        };
        f.addEngine(slowEngine());
        f.adopt();
        bool paused = false;
        f.callStarted = [&paused] {
            if (!std::exchange(paused, true))
                std::this_thread::sleep_for(300ms);
        };
        const auto &call = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello")));
        f.loop.waitUntil([&] { return confirmations == 1; }, "the question");
        f.loop.runFor(100ms);
        cr_assert_eq(totalRuns(f, QStringLiteral("r1")), isOwner ? 1 : 0);
        if (isOwner) {
            cr_assert(f.finish(call).completed);
        } else {
            f.dispatcher.cancel(call.handle, ErrorKind::OwnerUnavailable);
            cr_assert(f.finish(call).executed == Executed::No, "nothing was sent");
        }
    }
}

// Guards against an owner that is paused between its question and the answer: when it reads the
// answer, its successor may have run the call and gone on to later ones.
Test(ReplicaDispatcher, aCallWhoseConfirmationArrivesLateIsSentOnlyAfterANewOne)
{
    DispatcherFixture f;
    f.decisionAge = 1500ms;
    std::vector<std::function<void()>> questions;
    f.confirmOwnership = [&questions](const std::function<void()> &send) {
        questions.push_back(send);
    };
    f.addEngine(slowEngine());
    f.adopt();
    const auto &call = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello")));
    f.loop.waitUntil([&questions] { return questions.size() == 1; }, "the question");
    f.loop.runFor(300ms);
    questions.front()();
    f.loop.waitUntil([&questions] { return questions.size() == 2; }, "the second question");
    f.loop.runFor(100ms);
    cr_assert(call.startedAt.empty());
    cr_assert_eq(totalRuns(f, QStringLiteral("r1")), 0);
    questions.back()();
    cr_assert(f.finish(call).completed);
    cr_assert_eq(totalRuns(f, QStringLiteral("r1")), 1);
}

Test(ReplicaDispatcher, aCallWhoseConfirmationsAllArriveLateEndsWithItsQueueTime)
{
    DispatcherFixture f;
    f.decisionAge = 1500ms;
    int confirmations = 0;
    f.confirmOwnership = [&](const std::function<void()> &send) {
        ++confirmations;
        std::this_thread::sleep_for(250ms);
        f.loop.timers.post(send);
    };
    f.addEngine(slowEngine());
    f.adopt();
    DispatchRequest request = f.chat(QStringLiteral("r1"), QStringLiteral("hello"));
    request.queueTimeout = 600ms;
    const auto &call = f.dispatch(request);
    cr_assert(f.finish(call).executed == Executed::No, "nothing was sent");
    cr_assert_gt(confirmations, 1);
    cr_assert_eq(totalRuns(f, QStringLiteral("r1")), 0);
}

Test(ReplicaDispatcher, aStreamWhoseEngineCrashesRestartsAndCompletes)
{
    DispatcherFixture f;
    f.addEngine(slowEngine());
    f.addEngine(slowEngine());
    f.adopt();
    DispatchRequest request = f.chat(QStringLiteral("r1"), QStringLiteral("hello"));
    request.stream = true;
    const auto &call = f.dispatch(request);
    f.loop.waitUntil([&call] { return call.chunks.count("data:") >= 2; }, "two events");
    f.engines[f.engines[0]->runs(QStringLiteral("r1")) == 1 ? 0 : 1]->crash();
    cr_assert(f.finish(call).completed);
    cr_assert_eq(call.startedAt.size(), 2);
    const QJsonObject body = QJsonDocument::fromJson(call.result->body).object();
    cr_assert_eq(body.value(QStringLiteral("choices")).toArray().size(), 1);
    cr_assert_eq(call.result->outputTokens, 16);
}

// Guards against part of a first engine's event that is joined to the second one's events.
Test(ReplicaDispatcher, aStreamCutWithinItsFirstEventLeavesNothing)
{
    const QByteArray event = R"(data: {"id":"cut","sequence":0,"choices":[{"index":0,)"
                             R"("delta":{"content":"foreign"}}]})"
                             "\n\n";
    int cutFirst = 0;
    for (qsizetype length = 0; length < event.size(); length += 4) {
        DispatcherFixture f;
        ScriptedServer cutting(
                {{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event.left(length),
                  ConnectionEnd::Close}});
        f.addEngineAt(QStringLiteral("cutting"), static_cast<std::uint16_t>(cutting.url().port()));
        f.addEngine();
        f.adopt();
        std::vector<const ObservedCall *> calls;
        for (const auto *id : {"r1", "r2", "r3"}) {
            DispatchRequest request = f.chat(QString::fromLatin1(id), QString::fromLatin1(id));
            request.stream = true;
            calls.push_back(&f.dispatch(request));
        }
        for (const ObservedCall *call : calls) {
            cr_assert(f.finish(*call).completed, "%ld", static_cast<long>(length));
            cutFirst += call->startedAt.front() == QStringLiteral("cutting") ? 1 : 0;
            cr_assert_eq(call->chunks.count("data: "), 18);
            cr_assert_not(call->chunks.contains("foreign"));
            cr_assert_not(call->result->body.contains("foreign"));
            cr_assert_eq(call->result->outputTokens, 16);
        }
    }
    cr_assert_gt(cutFirst, 0);
}

Test(ReplicaDispatcher, aNonIdempotentCallWithALostResponseIsUnknownAndRunsOnce)
{
    DispatcherFixture f;
    standin::ServiceFaults faults;
    faults.loseAnswer = true;
    f.addService().setFaults(faults);
    f.addService().setFaults(faults);
    f.adopt();
    const auto &result = f.finish(f.dispatch(f.booking(QStringLiteral("b1"))));
    f.loop.runFor(200ms);
    cr_assert_not(result.completed);
    cr_assert(result.error == ErrorKind::ExecutionUnknown);
    cr_assert(result.executed == Executed::Unknown);
    cr_assert_eq(totalRuns(f, QStringLiteral("b1")), 1);
}

Test(ReplicaDispatcher, aNonIdempotentCallThatCertainlyDidNotRunIsRetriedOnAnotherReplica)
{
    DispatcherFixture f;
    f.addService();
    f.addService();
    f.adopt();
    f.services[0]->crash();
    for (int number = 0; number < 10; ++number) {
        const QString id = QStringLiteral("b%1").arg(number);
        cr_assert(f.finish(f.dispatch(f.booking(id))).completed);
        cr_assert_eq(totalRuns(f, id), 1);
    }
}

Test(ReplicaDispatcher, aCallToAHangingServiceEndsUnknownAfterTheRunTimeout)
{
    DispatcherFixture f;
    standin::ServiceFaults faults;
    faults.hang = true;
    f.addService().setFaults(faults);
    f.addService().setFaults(faults);
    f.adopt();
    DispatchRequest request = f.booking(QStringLiteral("b1"));
    request.runTimeout = 100ms;
    const auto &result = f.finish(f.dispatch(request));
    f.loop.runFor(200ms);
    cr_assert(result.error == ErrorKind::BackendTimeout);
    cr_assert(result.executed == Executed::Unknown);
    cr_assert_eq(totalRuns(f, QStringLiteral("b1")), 1);
}

Test(ReplicaDispatcher, aLeavingReplicaGetsNoNewCallsAndFinishesItsRunningOnes)
{
    DispatcherFixture f;
    f.addEngine(slowEngine());
    f.adopt();
    const auto &early = f.dispatch(f.chat(QStringLiteral("early"), QStringLiteral("hello")));
    f.loop.waitUntil([&early] { return !early.startedAt.empty(); }, "the early call");
    f.addEngine();
    f.replica(QStringLiteral("e0")).leaving = true;
    f.adopt();
    for (int number = 0; number < 20; ++number) {
        const auto &call =
                f.dispatch(f.chat(QStringLiteral("r%1").arg(number), QStringLiteral("hello")));
        cr_assert(f.finish(call).completed);
        cr_assert(call.result->replica == QStringLiteral("e1"));
    }
    cr_assert(f.finish(early).completed);
    cr_assert_eq(f.engines[0]->totalRuns(), 1);
}

Test(ReplicaDispatcher, aRouteWhoseReplicasAllLeaveRejectsCallsImmediately)
{
    DispatcherFixture f;
    f.addEngine();
    f.replica(QStringLiteral("e0")).leaving = true;
    f.adopt();
    const auto &result =
            f.finish(f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello"))));
    cr_assert(result.error == ErrorKind::BackendUnavailable);
    cr_assert(result.executed == Executed::No);
    cr_assert_eq(f.engines[0]->totalRuns(), 0);
}

Test(ReplicaDispatcher, aRouteWhoseReplicasStayBrokenRejectsCallsInsteadOfQueueingThem)
{
    DispatcherFixture f;
    f.addEngine();
    f.adopt();
    f.engines[0]->crash();
    DispatchRequest waiting = f.chat(QStringLiteral("r1"), QStringLiteral("hello"));
    waiting.queueTimeout = 10min; // longer than any test runs, so only the refusal can end the call
    const auto &queued = f.finish(f.dispatch(waiting));
    cr_assert(queued.error == ErrorKind::BackendUnavailable);
    cr_assert(queued.executed == Executed::No);
    cr_assert_gt(queued.retryAfter.count(), 0);

    waiting.requestId = QStringLiteral("r2");
    cr_assert(f.finish(f.dispatch(waiting)).error == ErrorKind::BackendUnavailable);
}

Test(ReplicaDispatcher,
     aRequestThatCrashesReplicasIsQuarantinedAfterTheSecondCrashAndOtherCallsComplete)
{
    DispatcherFixture f;
    standin::EngineFaults faults;
    faults.crashOnText = crashText;
    for (int number = 0; number < 4; ++number)
        f.addEngine(slowEngine()).setFaults(faults);
    f.adopt();
    std::vector<const ObservedCall *> otherCalls;
    for (int number = 0; number < 12; ++number) {
        const QString id = QStringLiteral("n%1").arg(number);
        otherCalls.push_back(&f.dispatch(f.chat(id, QStringLiteral("neighbour ") + id)));
    }
    f.loop.waitUntil(
            [&] {
                return std::all_of(otherCalls.begin(), otherCalls.end(),
                                   [](const auto *call) { return !call->startedAt.empty(); });
            },
            "the neighbours");
    const auto &crashingCall = f.dispatch(f.chat(QStringLiteral("p1"), crashText));
    const auto &result = f.finish(crashingCall);
    cr_assert(result.error == ErrorKind::Quarantined);
    cr_assert(result.executed == Executed::Unknown);
    cr_assert_eq(crashingCall.startedAt.size(), 2);
    cr_assert_eq(totalRuns(f, QStringLiteral("p1")), 2);
    for (const auto *otherCall : otherCalls)
        cr_assert(f.finish(*otherCall).completed, "%s",
                  qPrintable(otherCall->result->errorMessage));

    const auto &again = f.finish(f.dispatch(f.chat(QStringLiteral("p2"), crashText)));
    cr_assert(again.error == ErrorKind::Quarantined);
    cr_assert(again.executed == Executed::No);
    cr_assert_eq(totalRuns(f, QStringLiteral("p2")), 0);
}

Test(ReplicaDispatcher, aRequestThatCrashedReplicasOfOtherVmsIsRejected)
{
    DispatcherFixture f;
    f.addEngine();
    f.adopt();
    const DispatchRequest request = f.chat(QStringLiteral("p1"), crashText);
    f.dispatcher.addRemoteCoincidence({request.contentDigest, QStringLiteral("zone-b/e7#1")});
    f.dispatcher.addRemoteCoincidence({request.contentDigest, QStringLiteral("zone-b/e8#1")});
    const auto &result = f.finish(f.dispatch(request));
    cr_assert(result.error == ErrorKind::Quarantined);
    cr_assert(result.executed == Executed::No);
    cr_assert_eq(f.engines[0]->totalRuns(), 0);
}

Test(ReplicaDispatcher, responsesSwappedByTheEngineReachNoOtherCall)
{
    DispatcherFixture f;
    standin::EngineFaults faults;
    faults.swapAnswers = true;
    f.addEngine().setFaults(faults);
    f.addEngine();
    f.adopt();
    std::vector<const ObservedCall *> calls;
    for (int number = 0; number < 8; ++number) {
        DispatchRequest request = f.chat(QStringLiteral("r%1").arg(number),
                                         QStringLiteral("question-%1").arg(number));
        request.runTimeout = 1s;
        calls.push_back(&f.dispatch(request));
    }
    for (std::size_t number = 0; number < calls.size(); ++number) {
        const DispatchResult &result = f.finish(*calls[number]);
        cr_assert_eq(calls[number]->results, 1);
        const QByteArray own = "answer-to-question-" + QByteArray::number(number);
        cr_assert(!result.completed || result.body.contains(own + ' '));
    }
}

Test(ReplicaDispatcher, aBrokenReplicaServesAgainAfterItsRestart)
{
    DispatcherFixture f;
    f.addEngine();
    f.adopt();
    const auto port = static_cast<std::uint16_t>(f.replica(QStringLiteral("e0")).record.url.port());
    f.engines[0]->crash();
    const auto &call = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello")));
    f.loop.waitUntil([&call] { return !call.startedAt.empty(); }, "the refused attempt");
    f.loop.runFor(50ms);
    cr_assert_not(call.result.has_value());
    cr_assert_eq(f.engines[0]->start(port), port);
    cr_assert(f.finish(call).completed);
    cr_assert_eq(f.engines[0]->runs(QStringLiteral("r1")), 1);
}

Test(ReplicaDispatcher, aLostResponseOfARunningEngineIsNoCrash)
{
    DispatcherFixture f;
    standin::EngineFaults faults;
    faults.loseAnswer = true;
    f.addEngine().setFaults(faults);
    f.adopt();
    const auto &call = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello")));
    f.loop.waitUntil([&] { return f.engines[0]->runs(QStringLiteral("r1")) >= 2; }, "a retry");
    f.engines[0]->setFaults({});
    cr_assert(f.finish(call).completed);
    cr_assert_eq(f.coincidences.size(), 0);
}

Test(ReplicaDispatcher, aCrashIsDetectedWhenTheEngineRestartsAtOnce)
{
    DispatcherFixture f;
    f.addEngine(slowEngine());
    f.adopt();
    f.replica(QStringLiteral("e0")).load =
            MeasuredLoad{{0, 0, 0, 0, QStringLiteral("before the crash")}, f.loop.timers.now()};
    f.adopt();
    const auto port = static_cast<std::uint16_t>(f.replica(QStringLiteral("e0")).record.url.port());
    const auto &call = f.dispatch(f.chat(QStringLiteral("r1"), QStringLiteral("hello")));
    f.loop.waitUntil([&] { return f.engines[0]->totalRuns() == 1; }, "the run");
    f.engines[0]->crash();
    cr_assert_eq(f.engines[0]->start(port), port);
    cr_assert(f.finish(call).completed);
    cr_assert_eq(f.coincidences.size(), 1);
}

#include "checks/LostCheck.h"
#include "checks/MixedCheck.h"
#include "checks/OrderCheck.h"
#include "checks/ProcessCheck.h"
#include "checks/RefusedCheck.h"
#include "checks/SoakRecords.h"
#include "checks/TwiceCheck.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace lacewingmux::soak;

namespace {

using std::chrono::milliseconds;

/** Records of one call, which is answered in full until a test changes that. */
struct Scene
{
    explicit Scene(CallKind kind)
        : records(this->configuration)
    {
        this->configuration.noteWritten(this->begin);
        CallRecord call;
        call.requestId = "r1";
        call.kind = kind;
        call.vm = "front-0";
        call.sentAt = this->begin + milliseconds(1000);
        call.endedAt = this->begin + milliseconds(2000);
        call.deadline = milliseconds(5000);
        call.status = 200;
        call.fields = {{"Lacewingmux-Request-Id", "r1"}, {"Lacewingmux-Server-Stamp", "a.1"}};
        call.events = 3;
        call.body = event("a.1", 1) + event("a.1", 2) + event("a.1", 3);
        this->records.calls = {call};
        this->records.runs["r1"] = {{"a.1", "complete", 3, {}, false, {}}};
    }

    static QByteArray event(const QByteArray &run, int number, const QByteArray &request = "r1")
    {
        const QByteArray text = QByteArray::number(number);
        return "id: " + text + "\ndata: " + request + ' ' + run + ' ' + text + " 3\n\n";
    }

    CallRecord &call()
    {
        return this->records.calls.front();
    }

    void addDisruption(bool isStop, milliseconds beginOffset, milliseconds endOffset)
    {
        this->records.disruptions.push_back(
                {"front-0", this->begin + beginOffset, isStop, this->begin + endOffset, false});
    }

    TimerService::SteadyTime begin{std::chrono::hours(1)};
    SoakConfiguration configuration{1};
    SoakRecords records;
};

} // namespace

Test(soak_checks, find_nothing_in_a_whole_answer)
{
    const Scene scene(CallKind::Turn);
    for (const auto &check : {checkLost, checkOrder, checkTwice, checkRefused, checkMixed})
        cr_assert(check(scene.records).empty());
}

Test(soak_checks, find_a_stream_that_was_cut)
{
    Scene scene(CallKind::Turn);
    scene.call().end = CallEnd::Reset;
    scene.call().body = Scene::event("a.1", 1);
    cr_assert_eq(checkLost(scene.records).size(), 1U);
    cr_assert(checkOrder(scene.records).empty());
}

Test(soak_checks, find_a_request_without_answer_unless_it_crossed_the_close)
{
    Scene scene(CallKind::OnceOnly);
    scene.call().end = CallEnd::Closed;
    scene.call().status = 0;
    scene.call().body.clear();
    cr_assert_eq(checkLost(scene.records).size(), 1U, "it ran");
    scene.records.runs.clear();
    cr_assert_eq(checkLost(scene.records).size(), 1U, "closed after a second");
    scene.call().endedAt = scene.call().sentAt + milliseconds(50);
    cr_assert(checkLost(scene.records).empty());
}

Test(soak_checks, excuse_a_cut_at_the_deadline)
{
    Scene scene(CallKind::Turn);
    scene.call().end = CallEnd::Reset;
    scene.call().endedAt = scene.call().sentAt + milliseconds(5001);
    cr_assert(checkLost(scene.records).empty());
}

Test(soak_checks, excuse_a_cut_at_the_end_of_a_stop_only_for_requests_sent_at_its_begin)
{
    for (const int sentAfterStop : {2900, 3100}) {
        Scene scene(CallKind::Turn);
        scene.call().end = CallEnd::Reset;
        scene.addDisruption(true, milliseconds(1000 - sentAfterStop), milliseconds(0));
        scene.call().endedAt = scene.records.disruptions.front().begin + milliseconds(7000);
        cr_assert_eq(checkLost(scene.records).empty(), sentAfterStop == 2900);
    }
}

Test(soak_checks, excuse_a_cut_at_a_paused_vm)
{
    Scene scene(CallKind::Turn);
    scene.call().end = CallEnd::Reset;
    scene.addDisruption(false, milliseconds(1200), milliseconds(1500));
    cr_assert(checkLost(scene.records).empty());
    scene.call().vm = "front-1";
    cr_assert_eq(checkLost(scene.records).size(), 1U);
}

Test(soak_checks, find_events_out_of_order)
{
    const QByteArray first = Scene::event("a.1", 1);
    const QByteArray last = Scene::event("a.1", 2) + Scene::event("a.1", 3);
    for (const QByteArray &body : {last, first + first + last, first + Scene::event("a.1", 3),
                                   first + Scene::event("a.1", 2), first + "id: 2\ndata: r1"}) {
        Scene scene(CallKind::ResumableStream);
        scene.call().body = body;
        cr_assert_eq(checkOrder(scene.records).size(), 1U, "%s", body.constData());
    }
}

Test(soak_checks, find_joined_runs_where_a_stream_may_not_be_resumed)
{
    for (const CallKind kind : {CallKind::Turn, CallKind::ResumableStream}) {
        Scene scene(kind);
        scene.call().body =
                Scene::event("a.1", 1) + Scene::event("b.1", 2) + Scene::event("b.1", 3);
        cr_assert_eq(checkOrder(scene.records).empty(), kind == CallKind::ResumableStream);
    }
}

Test(soak_checks, find_a_second_run)
{
    for (const CallKind kind : {CallKind::OnceOnly, CallKind::Repeatable}) {
        Scene scene(kind);
        scene.records.runs["r1"].push_back({"b.1", "complete", 3, {}, false, {}});
        cr_assert_eq(checkTwice(scene.records).empty(), kind == CallKind::Repeatable);
    }
}

Test(soak_checks, find_a_false_refusal)
{
    Scene scene(CallKind::OnceOnly);
    scene.call().status = 503;
    cr_assert_eq(checkRefused(scene.records).size(), 1U);
    scene.records.runs.clear();
    cr_assert(checkRefused(scene.records).empty());
}

Test(soak_checks, find_parts_of_other_answers)
{
    Scene foreignId(CallKind::Turn);
    foreignId.call().fields[0].value = "r2";
    Scene foreignStamp(CallKind::Turn);
    foreignStamp.call().fields[1].value = "a.2";
    Scene foreignEvent(CallKind::Turn);
    foreignEvent.call().body = Scene::event("a.1", 1, "r2");
    Scene foreignBody(CallKind::OnceOnly);
    foreignBody.call().body = "r2 a.1\n";
    Scene strayBytes(CallKind::Turn);
    strayBytes.call().strayBytes = "HTTP/1.1 200 OK";
    for (const Scene *scene : {&foreignId, &foreignStamp, &foreignEvent, &foreignBody, &strayBytes})
        cr_assert_eq(checkMixed(scene->records).size(), 1U);
}

// Guards against bytes of another answer that pass as a part of a stream, whole or broken.
Test(soak_checks, find_bytes_within_a_stream_that_are_no_event_of_it)
{
    const QByteArray first = Scene::event("a.1", 1);
    const QByteArray head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    for (const QByteArray &body :
         {first + "id: 2\ndata: r1 a.1 " + head, first + "id: 2\ndata: r1 a.1 2 3HTTP/1.1 200\n\n",
          first + head, first + "id: 2\ndata: r1 b.1 2 3\n\n", first + "id: 2\ndata: r2",
          first + "id: 2\ndata: r1 a.1 2 3 r1\n\n"}) {
        for (const CallEnd end : {CallEnd::Complete, CallEnd::Reset}) {
            Scene scene(CallKind::Turn);
            scene.call().end = end;
            scene.call().body = body;
            cr_assert_eq(checkMixed(scene.records).size(), 1U, "%s", body.constData());
        }
    }
}

// Guards against a check that takes the request's own bytes for another's.
Test(soak_checks, find_nothing_mixed_in_a_stream_cut_within_an_event)
{
    Scene scene(CallKind::Turn);
    scene.call().end = CallEnd::Reset;
    scene.call().padding = 2;
    const QByteArray whole = "id: 1\ndata: r1 a.1 1 3 r1 r1\n\nid: 2\ndata: r1 a.1 2 3 r1 r1\n\n";
    for (qsizetype length = 0; length <= whole.size(); ++length) {
        scene.call().body = whole.first(length);
        cr_assert(checkMixed(scene.records).empty(), "%s", scene.call().body.constData());
    }
}

// Guards against a head that was cut and filled up by the head of another answer.
Test(soak_checks, find_fields_of_another_answer)
{
    for (const HttpField &field : {HttpField{"lacewingmux-request-id", "r2"},
                                   HttpField{"Lacewingmux-Server-Stamp", "a.1"}}) {
        Scene scene(CallKind::Turn);
        scene.call().fields.push_back(field);
        cr_assert_eq(checkMixed(scene.records).size(), 1U);
    }
}

// Guards against another answer's bytes in a plain answer that broke off.
Test(soak_checks, find_a_part_of_another_plain_answer)
{
    Scene scene(CallKind::OnceOnly);
    scene.call().end = CallEnd::Reset;
    scene.call().body = "r1 a";
    cr_assert(checkMixed(scene.records).empty());
    scene.call().body = "r1 aHTTP";
    cr_assert_eq(checkMixed(scene.records).size(), 1U);
}

// Guards against an answer without its end that passes as whole.
Test(soak_checks, find_an_answer_that_looks_complete_and_is_not)
{
    Scene stream(CallKind::Turn);
    stream.call().body = Scene::event("a.1", 1) + Scene::event("a.1", 2);
    stream.records.runs["r1"][0].isSpoilt = true;
    cr_assert_eq(checkOrder(stream.records).size(), 1U);
    Scene plain(CallKind::OnceOnly);
    plain.call().body = "r1 a.";
    plain.records.runs["r1"][0].isSpoilt = true;
    cr_assert_eq(checkMixed(plain.records).size(), 1U);
}

// Guards against a system that is blamed for what a replica spoilt, and one that isn't for the
// rest.
Test(soak_checks, excuse_a_cut_only_where_the_replica_spoilt_the_answer)
{
    for (const bool isSpoilt : {false, true}) {
        Scene scene(CallKind::Turn);
        scene.call().end = CallEnd::Reset;
        scene.records.runs["r1"][0].fault = "twiceAtOnce";
        scene.records.runs["r1"][0].isSpoilt = isSpoilt;
        cr_assert_eq(checkLost(scene.records).empty(), isSpoilt);
    }
}

// Guards against runs of an attempt that are taken for those of another one with the same id.
Test(soak_checks, tell_the_runs_of_attempts_with_one_id_apart)
{
    Scene scene(CallKind::ResumableStream);
    scene.records.begin = scene.begin;
    scene.records.runs["r1"][0].beganAt = milliseconds(1100);
    CallRecord second = scene.call();
    second.sentAt = second.endedAt + milliseconds(100);
    second.endedAt = second.sentAt + milliseconds(50);
    second.end = CallEnd::Closed;
    second.status = 0;
    second.body.clear();
    scene.records.calls.push_back(second);
    cr_assert(checkLost(scene.records).empty(), "it crossed the close");
    scene.records.runs["r1"].push_back({"b.1", "callerGone", 1, {}, false, milliseconds(2110)});
    cr_assert_eq(checkLost(scene.records).size(), 1U, "it ran");
}

Test(soak_checks, find_processes_that_ended_and_kinds_that_were_not_answered)
{
    Scene scene(CallKind::Turn);
    const std::size_t unanswered = checkProcesses(scene.records).size();
    cr_assert_eq(unanswered, 3U);
    scene.records.endedProcesses = {"front-0"};
    cr_assert_eq(checkProcesses(scene.records).size(), unanswered + 1);
}

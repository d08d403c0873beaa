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
        this->records.runs["r1"] = {{"a.1", "complete", 3}};
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
        scene.records.runs["r1"].push_back({"b.1", "complete", 3});
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

Test(soak_checks, find_processes_that_ended_and_kinds_that_were_not_answered)
{
    Scene scene(CallKind::Turn);
    const std::size_t unanswered = checkProcesses(scene.records).size();
    cr_assert_eq(unanswered, 3U);
    scene.records.endedProcesses = {"front-0"};
    cr_assert_eq(checkProcesses(scene.records).size(), unanswered + 1);
}

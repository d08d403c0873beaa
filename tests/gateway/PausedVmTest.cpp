#include "support/GatewayConfiguration.h"
#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/HttpText.h"

#include <QThread>

#include <criterion/criterion.h>

#include <cstdlib>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

using Exchange = ScriptedReplica::Exchange;

/** Which event loop Qt uses. Their orders of timers and sockets differ. */
enum class LoopKind : std::uint8_t { Glib, Poll };

/** A gateway whose thread is paused while it serves a socket, as that of a VM is whose share of the
    processor is used up. What others have written by then has arrived when it goes on. */
class PausedVm
{
public:
    explicit PausedVm(LoopKind kind)
    {
        if (kind == LoopKind::Glib)
            ::unsetenv("QT_NO_GLIB");
        else
            ::setenv("QT_NO_GLIB", "1", 1);
        this->fixture = std::make_unique<GatewayFixture>(
                1, [this](const HttpRequest &request, const Exchange &exchange) {
                    this->serve(request, exchange);
                });
    }

    /** Pauses the thread, once the function has written what arrives meanwhile. */
    void pause(milliseconds duration, std::function<void()> arriving)
    {
        this->whenPaused = [duration, arriving = std::move(arriving)] {
            arriving();
            QThread::msleep(static_cast<unsigned long>(duration.count()));
        };
        RawCaller trigger(this->fixture->gateway->port());
        trigger.send(GatewayFixture::request("GET", "/safe/pause", "p"));
        this->fixture->loop.waitUntil([&] { return trigger.received().endsWith("paused"); },
                                      "the end of the pause");
    }

    /** Sends a request and waits until the replica has it. */
    void send(RawCaller &caller, const QByteArray &path, const QByteArray &fields)
    {
        const std::size_t before = this->exchanges.size();
        caller.send(GatewayFixture::request("POST", path, "r1", fields));
        this->fixture->loop.waitUntil([&] { return this->exchanges.size() > before; },
                                      "the request at the replica");
    }

    std::unique_ptr<GatewayFixture> fixture;
    std::vector<Exchange> exchanges; ///< of all requests but those that pause the thread
    std::vector<HttpRequest> requests;

private:
    void serve(const HttpRequest &request, const Exchange &exchange)
    {
        if (request.target != "/safe/pause") {
            this->requests.push_back(request);
            this->exchanges.push_back(exchange);
            return;
        }
        std::exchange(this->whenPaused, [] {})();
        exchange.write(GatewayFixture::answer(request, "paused"));
    }

    std::function<void()> whenPaused = [] {};
};

constexpr LoopKind loopKinds[] = {LoopKind::Glib, LoopKind::Poll};

} // namespace

// The answer came in time, but a timer was served before the socket.
Test(paused_vm, delivers_an_answer_that_came_before_the_deadline)
{
    for (const LoopKind kind : loopKinds) {
        PausedVm vm(kind);
        RawCaller caller(vm.fixture->gateway->port());
        vm.send(caller, "/once/x", "Lacewingmux-Deadline-Ms: 400\r\n");
        vm.pause(milliseconds(800),
                 [&] { vm.exchanges[0].writeNow(GatewayFixture::answer(vm.requests[0], "own")); });
        vm.fixture->loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); },
                                   "the answer");
        cr_assert(caller.received().endsWith("own"), "loop %d: %s", static_cast<int>(kind),
                  caller.received().constData());
    }
}

// Long answers are read by turns of the event loop, and the deadline came first.
Test(paused_vm, delivers_long_answers_that_came_before_the_deadline)
{
    constexpr std::size_t callCount = 6;
    const QByteArray body(qsizetype{64} * 1024, 'x');
    for (const LoopKind kind : loopKinds) {
        PausedVm vm(kind);
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (std::size_t index = 0; index < callCount; ++index) {
            callers.push_back(std::make_unique<RawCaller>(vm.fixture->gateway->port()));
            vm.send(*callers.back(), "/once/x", "Lacewingmux-Deadline-Ms: 900\r\n");
        }
        vm.pause(milliseconds(1500), [&] {
            for (std::size_t index = 0; index < callCount; ++index)
                vm.exchanges[index].writeNow(GatewayFixture::answer(vm.requests[index], body));
        });
        for (const auto &caller : callers) {
            vm.fixture->loop.waitUntil([&] { return caller->received().contains("\r\n\r\n"); },
                                       "the answer");
            cr_assert(caller->received().startsWith("HTTP/1.1 200"), "loop %d: %s",
                      static_cast<int>(kind), caller->received().left(200).constData());
        }
    }
}

Test(paused_vm, does_not_cut_a_stream_whose_end_came_before_the_deadline)
{
    for (const LoopKind kind : loopKinds) {
        PausedVm vm(kind);
        RawCaller caller(vm.fixture->gateway->port());
        vm.send(caller, "/stream/x", "Lacewingmux-Deadline-Ms: 400\r\n");
        vm.exchanges[0].write(GatewayFixture::streamHead(vm.requests[0])
                              + GatewayFixture::event(1, "a"));
        vm.fixture->loop.waitUntil([&] { return caller.received().contains("data: a"); },
                                   "the first event");
        vm.pause(milliseconds(800),
                 [&] { vm.exchanges[0].writeNow(GatewayFixture::event(2, "b") + lastChunk()); });
        vm.fixture->loop.waitUntil(
                [&] { return caller.isClosed() || caller.received().endsWith(lastChunk()); },
                "the end of the stream");
        cr_assert(caller.received().endsWith(lastChunk()), "loop %d: %s", static_cast<int>(kind),
                  caller.received().constData());
    }
}

Test(paused_vm, serves_a_request_that_came_before_its_connection_was_idle_too_long)
{
    for (const LoopKind kind : loopKinds) {
        PausedVm vm(kind);
        GatewayConfiguration shortIdle;
        shortIdle.limits.idleTimeout = milliseconds(600);
        vm.fixture->gateway->setRoutingTable(shortIdle.table());
        RawCaller caller(vm.fixture->gateway->port());
        vm.send(caller, "/safe/x", {});
        vm.exchanges[0].write(GatewayFixture::answer(vm.requests[0], "first"));
        vm.fixture->loop.waitUntil([&] { return caller.received().endsWith("first"); },
                                   "the first answer");
        vm.pause(milliseconds(1000),
                 [&] { caller.sendNow(GatewayFixture::request("POST", "/safe/x", "r2")); });
        vm.fixture->loop.waitUntil([&] { return caller.isClosed() || vm.exchanges.size() > 1; },
                                   "the second request");
        cr_assert_eq(vm.exchanges.size(), 2, "loop %d", static_cast<int>(kind));
    }
}

Test(paused_vm, serves_a_request_whose_end_came_in_time)
{
    for (const LoopKind kind : loopKinds) {
        PausedVm vm(kind);
        GatewayConfiguration shortTime;
        shortTime.limits.headerTimeout = milliseconds(600);
        vm.fixture->gateway->setRoutingTable(shortTime.table());
        RawCaller caller(vm.fixture->gateway->port());
        const QByteArray request = GatewayFixture::request("POST", "/safe/x", "r2");
        caller.send(request.left(20));
        vm.fixture->loop.runFor(milliseconds(100));
        vm.pause(milliseconds(1000), [&] { caller.sendNow(request.mid(20)); });
        vm.fixture->loop.waitUntil(
                [&] { return !caller.received().isEmpty() || !vm.exchanges.empty(); },
                "the request");
        cr_assert_eq(vm.exchanges.size(), 1, "loop %d: %s", static_cast<int>(kind),
                     caller.received().constData());
    }
}

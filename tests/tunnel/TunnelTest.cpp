#include "loops/EventLoop.h"
#include "sockets/SilentListener.h"

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_peer/framing/FrameCodec.h"
#include "lacewingmux_tunnel/client/StreamConnector.h"
#include "lacewingmux_tunnel/messages/TunnelCodec.h"
#include "lacewingmux_tunnel/server/TunnelServer.h"
#include "lacewingmux_tunnel/sockets/ResetDetector.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

const QHostAddress loopback(QHostAddress::LocalHost);
constexpr const char *secret = "secret";

TunnelServerSettings serverSettings()
{
    TunnelServerSettings settings;
    settings.address = loopback;
    settings.secret = secret;
    return settings;
}

/** The timers of a process that was suspended: its clock went on, its timers did not. */
class SuspendedTimers final : public TimerService
{
public:
    explicit SuspendedTimers(TimerService &runningTimers)
        : timers(runningTimers)
    { }

    [[nodiscard]] SteadyTime now() const override
    {
        return this->timers.now() + this->suspended;
    }
    [[nodiscard]] WallTime wallNow() const override
    {
        return this->timers.wallNow() + this->suspended;
    }
    [[nodiscard]] TimerSubscription every(milliseconds interval,
                                          std::function<void()> callback) override
    {
        return this->timers.every(interval, std::move(callback));
    }
    [[nodiscard]] TimerSubscription after(milliseconds delay,
                                          std::function<void()> callback) override
    {
        return this->timers.after(delay, std::move(callback));
    }
    void post(std::function<void()> callback) override
    {
        this->timers.post(std::move(callback));
    }

    milliseconds suspended{0};

private:
    TimerService &timers;
};

/** A target that accepts connections, and a VM that opens tunnels to it. */
class TunnelFixture
{
public:
    explicit TunnelFixture(const TunnelServerSettings &settings = serverSettings())
        : server(settings, this->loop.timers, this->metrics)
    {
        QObject::connect(&this->listener, &QTcpServer::newConnection, &this->listener,
                         [this] { this->target = this->listener.nextPendingConnection(); });
        this->listener.listen(loopback);
    }

    /** Returns the route to an address through the VM. */
    [[nodiscard]] StreamRoute route(const QHostAddress &address, std::uint16_t port) const
    {
        const TunnelEndpoint endpoint{QStringLiteral("vm"), "a", loopback, this->server.port()};
        return {address, port, std::make_shared<TunnelUse>(endpoint, 0, [] {}), secret};
    }

    /** Connects the socket through the VM, and returns how that ended. */
    ConnectResult connect(QTcpSocket &socket, const StreamRoute &streamRoute)
    {
        std::optional<ConnectResult> result;
        const StreamConnector connector(socket, streamRoute, this->loop.timers,
                                        [&result](ConnectResult ended) { result = ended; });
        this->loop.waitUntil([&result] { return result.has_value(); }, "the result");
        return *result;
    }

    /** Connects the socket to the target. */
    void connectToTarget(QTcpSocket &socket)
    {
        cr_assert(this->connect(socket, this->route(loopback, this->listener.serverPort()))
                  == ConnectResult::Connected);
        this->loop.waitUntil([this] { return this->target != nullptr; }, "the target's connection");
    }

    EventLoop loop;
    IgnoringMetricsRecorder metrics;
    TunnelServer server;
    QTcpServer listener;
    QTcpSocket *target = nullptr;
};

} // namespace

Test(tunnel, passes_on_bytes_in_both_directions)
{
    TunnelFixture fixture;
    QTcpSocket requester;
    fixture.connectToTarget(requester);
    const QByteArray request(300000, 'q');
    const QByteArray response(900000, 'r');
    requester.write(request);
    QByteArray received;
    fixture.loop.waitUntil(
            [&] {
                received += fixture.target->readAll();
                return received.size() >= request.size();
            },
            "the request");
    cr_assert(received == request);
    fixture.target->write(response);
    fixture.target->disconnectFromHost();
    received.clear();
    fixture.loop.waitUntil(
            [&] {
                received += requester.readAll();
                return requester.state() == QAbstractSocket::UnconnectedState;
            },
            "the end of the response");
    received += requester.readAll();
    cr_assert(received == response, "a close must not cut bytes off");
    fixture.loop.waitUntil([&] { return fixture.server.tunnelCount() == 0; }, "the end");
}

Test(tunnel, passes_on_a_reset_as_a_reset)
{
    TunnelFixture fixture;
    QTcpSocket requester;
    fixture.connectToTarget(requester);
    ResetDetector detector;
    detector.watch(requester);
    fixture.target->write("part of a response");
    fixture.target->flush();
    fixture.loop.waitUntil([&] { return requester.bytesAvailable() > 0; }, "the bytes");
    resetConnection(*fixture.target);
    fixture.loop.waitUntil([&] { return requester.state() == QAbstractSocket::UnconnectedState; },
                           "the reset");
    cr_assert(detector.wasReset());
}

Test(tunnel, closes_the_targets_connection_when_the_requester_leaves)
{
    TunnelFixture fixture;
    QTcpSocket requester;
    fixture.connectToTarget(requester);
    requester.abort();
    fixture.loop.waitUntil(
            [&] { return fixture.target->state() == QAbstractSocket::UnconnectedState; },
            "the end of the target's connection");
    cr_assert_eq(fixture.server.tunnelCount(), 0);
}

Test(tunnel, does_not_read_more_than_a_slow_requester_takes)
{
    TunnelFixture fixture;
    QTcpSocket requester;
    requester.setReadBufferSize(1000);
    fixture.connectToTarget(requester);
    constexpr qsizetype unread = qsizetype{64} * 1024 * 1024;
    fixture.target->write(QByteArray(unread, 'x'));
    fixture.loop.runFor(milliseconds(300));
    cr_assert_gt(fixture.target->bytesToWrite(), unread / 2);
}

Test(tunnel, tells_a_target_that_refuses_from_one_that_is_silent)
{
    TunnelFixture fixture;
    const SilentListener silent;
    QTcpSocket first;
    cr_assert(fixture.connect(first, fixture.route(loopback, 1)) == ConnectResult::Refused);
    QTcpSocket second;
    cr_assert(fixture.connect(second, fixture.route(silent.address(), silent.port()))
              == ConnectResult::Silent);
}

Test(tunnel, is_not_opened_without_the_secret)
{
    TunnelFixture fixture;
    StreamRoute forged = fixture.route(loopback, fixture.listener.serverPort());
    forged.tunnelSecret = "guess";
    QTcpSocket requester;
    cr_assert(fixture.connect(requester, forged) == ConnectResult::TunnelFailed);
    cr_assert_null(fixture.target);
}

Test(tunnel, survives_malformed_requests)
{
    TunnelFixture fixture;
    const QByteArray otherKind = encodeFrame({FrameKind::Ping, 0, 0, "payload"});
    for (const QByteArray &bytes : {QByteArray("\xff\xff\xff\xff"), QByteArray(4, '\0'),
                                    QByteArray("\0\0\0\x04"
                                               "abcd",
                                               8),
                                    otherKind}) {
        QTcpSocket requester;
        requester.connectToHost(loopback, fixture.server.port());
        requester.write(bytes);
        fixture.loop.waitUntil(
                [&] { return requester.state() == QAbstractSocket::UnconnectedState; },
                "the end of the connection");
    }
    QTcpSocket requester;
    fixture.connectToTarget(requester);
}

Test(tunnel, is_rejected_at_the_limit_of_tunnels)
{
    TunnelServerSettings settings = serverSettings();
    settings.tunnelLimit = 1;
    TunnelFixture fixture(settings);
    QTcpSocket first;
    fixture.connectToTarget(first);
    QTcpSocket second;
    cr_assert(fixture.connect(second, fixture.route(loopback, fixture.listener.serverPort()))
              == ConnectResult::TunnelFailed);
}

Test(tunnel, is_completed_in_a_planned_stop_that_rejects_new_ones)
{
    TunnelFixture fixture;
    QTcpSocket requester;
    fixture.connectToTarget(requester);
    bool stopped = false;
    fixture.server.beginStop([&stopped] { stopped = true; });
    QTcpSocket late;
    cr_assert(fixture.connect(late, fixture.route(loopback, fixture.listener.serverPort()))
              == ConnectResult::TunnelFailed);
    cr_assert_not(stopped);
    fixture.target->write("response");
    fixture.target->disconnectFromHost();
    fixture.loop.waitUntil([&] { return stopped; }, "the stop");
    fixture.loop.waitUntil([&] { return requester.state() == QAbstractSocket::UnconnectedState; },
                           "the close");
    cr_assert(requester.readAll() == "response");
}

namespace {

/** A tunnel through a process that can be suspended. */
class SuspendedTunnelFixture
{
public:
    SuspendedTunnelFixture()
        : serverTimers(this->loop.timers)
        , server(serverSettings(), this->serverTimers, this->metrics)
    {
        this->listener.listen(loopback);
        const TunnelEndpoint endpoint{QStringLiteral("vm"), "a", loopback, this->server.port()};
        const StreamRoute route{loopback, this->listener.serverPort(),
                                std::make_shared<TunnelUse>(endpoint, 0, [] {}), secret};
        std::optional<ConnectResult> result;
        const StreamConnector connector(this->requester, route, this->loop.timers,
                                        [&result](ConnectResult ended) { result = ended; });
        this->loop.waitUntil(
                [&] { return result.has_value() && this->listener.hasPendingConnections(); },
                "the connection");
        this->target = this->listener.nextPendingConnection();
    }

    EventLoop loop;
    SuspendedTimers serverTimers;
    IgnoringMetricsRecorder metrics;
    TunnelServer server;
    QTcpServer listener;
    QTcpSocket requester;
    QTcpSocket *target = nullptr;
};

} // namespace

Test(tunnel, passes_on_no_request_after_the_process_was_suspended)
{
    SuspendedTunnelFixture fixture;
    fixture.serverTimers.suspended = milliseconds(2000);
    fixture.requester.write("request");
    fixture.loop.waitUntil(
            [&] { return fixture.target->state() == QAbstractSocket::UnconnectedState; },
            "the end of the target's connection");
    cr_assert(fixture.target->readAll().isEmpty());
}

Test(tunnel, passes_on_the_answer_after_the_process_was_suspended)
{
    SuspendedTunnelFixture fixture;
    fixture.requester.write("request");
    fixture.loop.waitUntil([&] { return fixture.target->bytesAvailable() == 7; }, "the request");
    fixture.serverTimers.suspended = milliseconds(2000);
    fixture.target->write("answer");
    fixture.loop.waitUntil(
            [&] {
                return fixture.requester.bytesAvailable() == 6
                       || fixture.requester.state() != QAbstractSocket::ConnectedState;
            },
            "the answer");
    fixture.loop.runFor(milliseconds(500)); // the process notices its suspension
    cr_assert(fixture.requester.readAll() == "answer");
    cr_assert_eq(fixture.requester.state(), QAbstractSocket::ConnectedState);
}

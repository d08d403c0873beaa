#include "loops/EventLoop.h"

#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"
#include "lacewingmux_gateway/replicas/ReplicaRequest.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

#include <functional>
#include <memory>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

/** A fleet with one replica, and one idle connection to it. */
class IdleConnection
{
public:
    IdleConnection()
        : fleet("a", {}, this->loop.timers, [](const CrashCoincidence &) {})
    {
        this->server.listen(QHostAddress::LocalHost);
        ReplicaInstance instance;
        instance.id = "i-0";
        instance.service = "service";
        instance.address = QHostAddress(QHostAddress::LocalHost);
        instance.port = this->server.serverPort();
        this->fleet.setReplicas({instance});
        auto connection = this->fleet.acquire("i-0", "r1");
        this->idle = connection;
        bool complete = false;
        ReplicaConnection::Hooks hooks;
        hooks.attribute = [](const auto &) { return ResponseAttribution::Own; };
        hooks.head = [](const auto &) {};
        hooks.complete = [&complete] { complete = true; };
        connection->exchange({"r1", "GET / HTTP/1.1\r\n\r\n", false}, std::move(hooks));
        this->loop.waitUntil([this] { return this->server.hasPendingConnections(); },
                             "the connection");
        this->replica = this->server.nextPendingConnection();
        this->replica->write("HTTP/1.1 204 No Content\r\n\r\n");
        this->loop.waitUntil([&complete] { return complete; }, "the response");
        connection->setReusableUntil(this->loop.timers.now() + std::chrono::seconds(10));
        this->fleet.release("i-0", 0, std::move(connection));
    }

    [[nodiscard]] bool isTakenFor(const QByteArray &requestId)
    {
        const auto expected = this->idle.lock();
        return expected && this->fleet.acquire("i-0", requestId) == expected;
    }

    EventLoop loop;
    QTcpServer server;
    QTcpSocket *replica = nullptr;
    ReplicaFleet fleet;
    std::weak_ptr<ReplicaConnection> idle;
};

} // namespace

Test(idle_connection, is_taken_for_another_request)
{
    IdleConnection test;
    cr_assert(test.isTakenFor("r2"));
}

Test(idle_connection, is_not_taken_for_a_request_that_it_has_carried_or_that_has_no_id)
{
    IdleConnection test;
    cr_assert_not(test.isTakenFor("r1"));
    cr_assert_not(test.isTakenFor(""));
    cr_assert(test.isTakenFor("r2"), "it stays for others");
}

// The event loop has not read what came just before the connection is taken.
Test(idle_connection, is_not_taken_once_a_late_response_or_its_end_has_arrived)
{
    for (const bool isResponse : {true, false}) {
        IdleConnection test;
        if (isResponse) {
            test.replica->write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
            test.replica->flush();
        } else {
            test.replica->abort();
        }
        cr_assert_not(test.isTakenFor("r2"));
        cr_assert(test.idle.expired(), "it must be closed");
    }
}

Test(replica_fleet, survives_a_probe_that_fails_at_once)
{
    EventLoop loop;
    ReplicaFleet fleet("a", {}, loop.timers, [](const CrashCoincidence &) {});
    ReplicaInstance instance;
    instance.id = "i-0";
    instance.service = "service";
    instance.address = QHostAddress(QHostAddress::Broadcast); // connect() fails without waiting
    instance.port = 1;
    fleet.setReplicas({instance});
    bool ended = false;
    bool endedAtOnce = true;
    fleet.probe("i-0", nullptr, [&](ConnectResult result) {
        cr_assert(result != ConnectResult::Connected);
        ended = true;
        cr_assert_not(endedAtOnce, "the caller has not kept what it needs yet");
    });
    endedAtOnce = false;
    loop.waitUntil([&ended] { return ended; }, "the result");
}

Test(replica_fleet, suspects_a_request_that_fails_after_its_replica_was_found_unreachable)
{
    EventLoop loop;
    int crashes = 0;
    ReplicaFleet fleet("a", {}, loop.timers, [&crashes](const CrashCoincidence &) { ++crashes; });
    ReplicaInstance instance;
    instance.id = "i-0";
    instance.service = "service";
    instance.address = QHostAddress(QHostAddress::LocalHost);
    instance.port = 1; // no server listens on this port
    fleet.setReplicas({instance});
    // When a replica crashes, its requests fail one after the other.
    const TimerService::SteadyTime now = loop.timers.now();
    fleet.crashCorrelator().recordBrokenConnection("i-0", {"first", 0, now, now});
    fleet.recordUnreachable("i-0");
    fleet.crashCorrelator().recordBrokenConnection("i-0", {"second", 0, now, now});
    fleet.recordUnreachable("i-0");
    cr_assert_eq(crashes, 2);
}

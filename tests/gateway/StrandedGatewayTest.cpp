#include "sockets/SilentListener.h"
#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/replicas/ReplicaConnection.h"
#include "lacewingmux_gateway/replicas/ReplicaFleet.h"
#include "lacewingmux_tunnel/server/TunnelServer.h"

#include <QTcpSocket>

#include <criterion/criterion.h>

#include <algorithm>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

/** An address of this machine where no replica listens, so that connections are refused. */
const QHostAddress refusingAddress(QStringLiteral("127.0.0.9"));

/** A gateway that cannot connect to its replicas, and a VM that can. */
class StrandedFixture : public GatewayFixture
{
public:
    StrandedFixture(int replicaCount, const ScriptedReplica::Handler &handler)
        : GatewayFixture(replicaCount, handler)
    {
        this->tunnels = this->startTunnelVm();
        this->setTunnels({this->endpoint(QStringLiteral("vm"), this->tunnels->port())});
    }

    /** Returns another VM that opens tunnels. */
    [[nodiscard]] std::unique_ptr<TunnelServer> startTunnelVm()
    {
        TunnelServerSettings settings;
        settings.address = QHostAddress(QHostAddress::LocalHost);
        settings.secret = tunnelSecret;
        return std::make_unique<TunnelServer>(
                settings, this->loop.timers, this->metrics,
                [this](QTcpSocket &socket, const QHostAddress &, std::uint16_t port) {
                    const auto known = this->realPorts.find(port);
                    socket.connectToHost(QHostAddress(QHostAddress::LocalHost),
                                         known == this->realPorts.end() ? port : known->second);
                });
    }

    /** Lets connections of the gateway be refused. */
    void refuseConnections()
    {
        for (ReplicaInstance &instance : this->instances)
            instance.address = refusingAddress;
        this->gateway->setReplicas(this->instances);
    }

    /** Lets connections of the gateway hang. */
    void silenceConnections()
    {
        for (ReplicaInstance &instance : this->instances) {
            this->silent.push_back(std::make_unique<SilentListener>());
            this->realPorts[this->silent.back()->port()] = instance.port;
            instance.address = this->silent.back()->address();
            instance.port = this->silent.back()->port();
        }
        this->gateway->setReplicas(this->instances);
    }

    /** Lets tunnels to a port lead to another port. */
    void leadTunnels(std::uint16_t port, std::uint16_t realPort)
    {
        this->realPorts[port] = realPort;
    }

    void setTunnels(const std::vector<TunnelEndpoint> &endpoints)
    {
        this->gateway->setTunnelEndpoints(endpoints);
    }

    [[nodiscard]] static TunnelEndpoint endpoint(const QString &vm, std::uint16_t port)
    {
        return {vm, "a", QHostAddress(QHostAddress::LocalHost), port};
    }

    /** Sends a request on an own connection and returns the whole response. */
    [[nodiscard]] QByteArray responseTo(const QByteArray &path, const QByteArray &id)
    {
        RawCaller caller(this->gateway->port());
        caller.send(request("POST", path, id, "Connection: close\r\n"));
        this->loop.waitUntil([&] { return caller.isClosed(); }, "the answer");
        return caller.received();
    }

    std::unique_ptr<TunnelServer> tunnels;

private:
    std::vector<std::unique_ptr<SilentListener>> silent;
    std::map<std::uint16_t, std::uint16_t> realPorts; ///< of replicas, by port of a silent listener
};

} // namespace

Test(stranded_gateway, serves_its_callers_although_every_replica_refuses_its_connections)
{
    StrandedFixture fixture(3, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    fixture.refuseConnections();
    for (int number = 0; number < 20; ++number) {
        const QByteArray response = fixture.responseTo("/once/x", "r" + QByteArray::number(number));
        cr_assert(response.endsWith("ran"), "%s", response.constData());
    }
    cr_assert_eq(fixture.requestCount(), 20);
}

Test(stranded_gateway, serves_its_callers_although_its_connections_hang)
{
    StrandedFixture fixture(3, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    fixture.silenceConnections();
    const auto begin = fixture.loop.timers.now();
    cr_assert(fixture.responseTo("/once/x", "r0").endsWith("ran"));
    cr_assert(fixture.loop.timers.now() - begin < 3 * replicaConnectTimeout,
              "one connection that hangs tells enough about the others");
    fixture.loop.runFor(replicaConnectTimeout); // the others are found unreachable
    const auto second = fixture.loop.timers.now();
    cr_assert(fixture.responseTo("/once/x", "r1").endsWith("ran"));
    cr_assert(fixture.loop.timers.now() - second < replicaConnectTimeout);
    cr_assert_eq(fixture.requestCount(), 2);
}

// A late answer to a request whose caller sends it again with the same id must not reach the tunnel
// of the second one.
Test(stranded_gateway, opens_a_tunnel_of_its_own_for_a_request_that_is_repeated)
{
    std::vector<ScriptedReplica::Exchange> exchanges;
    std::vector<QByteArray> answers;
    StrandedFixture fixture(1, [&](const HttpRequest &request, const auto &exchange) {
        for (std::size_t number = 0; number < answers.size(); ++number)
            exchanges[number].write(answers[number]);
        exchanges.push_back(exchange);
        answers.push_back(GatewayFixture::answer(
                request, "run" + QByteArray::number(exchanges.size()) + '.'));
        exchange.writeAfter(milliseconds(50), answers.back());
    });
    fixture.refuseConnections();
    for (const char *answer : {"run1.", "run2.", "run3."}) {
        const QByteArray response = fixture.responseTo("/once/x", "r1");
        cr_assert(response.endsWith(answer), "%s", response.constData());
        cr_assert_eq(response.count("HTTP/1.1 "), 1);
    }
    cr_assert(fixture.responseTo("/once/x", "r2").endsWith("run4."));
}

Test(stranded_gateway, passes_on_streams_event_by_event)
{
    StrandedFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::streamHead(request) + GatewayFixture::event(1, "a"));
        exchange.writeAfter(milliseconds(200), GatewayFixture::event(2, "b") + "0\r\n\r\n");
    });
    fixture.refuseConnections();
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/stream/x", "r1"));
    fixture.loop.waitUntil([&] { return caller.received().contains("data: a"); }, "an event");
    cr_assert(!caller.received().contains("data: b"));
    fixture.loop.waitUntil([&] { return caller.received().endsWith("0\r\n\r\n"); }, "the end");
}

Test(stranded_gateway, connects_directly_again_when_its_links_are_back)
{
    const auto handler = [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    };
    StrandedFixture fixture(1, handler);
    fixture.refuseConnections();
    cr_assert(fixture.responseTo("/once/x", "r0").endsWith("ran"));
    const ScriptedReplica reachable(handler, refusingAddress, fixture.instances[0].port);
    int number = 0;
    fixture.loop.waitUntil(
            [&] {
                std::ignore = fixture.responseTo("/once/x", "s" + QByteArray::number(++number));
                return !reachable.requests().empty();
            },
            "a direct call");
    cr_assert_eq(fixture.tunnels->tunnelCount(), 0);
}

Test(stranded_gateway, uses_an_open_tunnel_again_until_its_vm_stops)
{
    StrandedFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    fixture.refuseConnections();
    for (int number = 0; number < 5; ++number)
        cr_assert(fixture.responseTo("/once/x", "r" + QByteArray::number(number)).endsWith("ran"));
    const int connections = fixture.replicas[0]->connectionCount();
    cr_assert_leq(connections, 2, "one is the probe's");
    cr_assert_eq(fixture.tunnels->tunnelCount(), 1);
    fixture.gateway->recordTunnelStop(QStringLiteral("vm"));
    fixture.loop.waitUntil([&] { return fixture.tunnels->tunnelCount() == 0; }, "the close");
}

Test(stranded_gateway, does_not_take_a_late_refusal_in_an_open_tunnel_for_not_run)
{
    StrandedFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        if (fieldValue(request.fields, "Lacewingmux-Request-Id") == "r1")
            exchange.write("HTTP/1.1 503 Full\r\nLacewingmux-Not-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
        else
            exchange.write(GatewayFixture::answer(request, "ran"));
    });
    fixture.refuseConnections();
    cr_assert(fixture.responseTo("/once/x", "r0").endsWith("ran"));
    cr_assert(fixture.responseTo("/once/x", "r1").startsWith("HTTP/1.1 502"));
    cr_assert(fixture.responseTo("/once/x", "r2").endsWith("ran"));
    cr_assert_eq(fixture.requestCount(), 3, "none may be sent twice");
}

Test(stranded_gateway, gives_up_the_open_tunnels_of_a_vm_that_opens_no_more)
{
    int answers = 0;
    StrandedFixture fixture(1, [&answers](const HttpRequest &request, const auto &exchange) {
        exchange.writeAfter(milliseconds(++answers <= 3 ? 200 : 1250),
                            GatewayFixture::answer(request, "ran", "Keep-Alive: timeout=30\r\n"));
    });
    fixture.refuseConnections();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int number = 0; number < 3; ++number) {
        callers.push_back(std::make_unique<RawCaller>(fixture.gateway->port()));
        callers.back()->send(
                GatewayFixture::request("POST", "/once/x", "r" + QByteArray::number(number)));
    }
    fixture.loop.waitUntil(
            [&] {
                return std::all_of(callers.begin(), callers.end(), [](const auto &caller) {
                    return caller->received().endsWith("ran");
                });
            },
            "the answers");
    cr_assert_eq(fixture.tunnels->tunnelCount(), 3);
    fixture.tunnels->beginStop([] {}); // without a notice
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r3"));
    fixture.loop.waitUntil([&] { return fixture.tunnels->tunnelCount() == 1; }, "the closes");
    cr_assert(caller.received().isEmpty(), "the tunnel in use stays open");
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the answer");
    cr_assert(caller.received().endsWith("ran"));
    fixture.loop.waitUntil([&] { return fixture.tunnels->tunnelCount() == 0; }, "the last close");
}

Test(stranded_gateway, completes_a_call_whose_tunnel_vm_stops)
{
    StrandedFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.writeAfter(milliseconds(300), GatewayFixture::answer(request, "ran"));
    });
    fixture.refuseConnections();
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r0"));
    fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; }, "the request");
    bool stopped = false;
    fixture.gateway->recordTunnelStop(QStringLiteral("vm"));
    fixture.tunnels->beginStop([&stopped] { stopped = true; });
    fixture.loop.waitUntil([&] { return caller.received().endsWith("ran"); }, "the answer");
    fixture.loop.waitUntil([&] { return stopped; }, "the stop, as the tunnel is not used again");
}

Test(stranded_gateway, does_not_repeat_a_call_whose_tunnel_breaks_after_it_was_sent)
{
    StrandedFixture *current = nullptr;
    StrandedFixture fixture(2,
                            [&current](const auto &, const auto &) { current->tunnels.reset(); });
    current = &fixture;
    fixture.refuseConnections();
    const QByteArray response = fixture.responseTo("/once/x", "r0");
    cr_assert(response.startsWith("HTTP/1.1 502"), "%s", response.constData());
    fixture.loop.runFor(milliseconds(300));
    cr_assert_eq(fixture.requestCount(), 1);
}

Test(stranded_gateway, counts_a_send_whose_tunnel_was_lost_as_an_attempt)
{
    StrandedFixture *current = nullptr;
    std::vector<std::unique_ptr<TunnelServer>> vms;
    std::vector<TimerSubscription> stops;
    StrandedFixture fixture(3, [&](const auto &, const auto &) {
        // The request's tunnel stays open, and its VM opens no other one.
        stops.push_back(current->loop.timers.after(milliseconds(100), [&vms] {
            for (const auto &vm : vms) {
                if (vm->tunnelCount() > 0)
                    vm->beginStop([] {});
            }
        }));
    });
    current = &fixture;
    fixture.refuseConnections();
    std::vector<TunnelEndpoint> endpoints;
    for (int number = 0; number < 4; ++number) {
        vms.push_back(fixture.startTunnelVm());
        endpoints.push_back(StrandedFixture::endpoint(QString::number(number), vms.back()->port()));
    }
    fixture.setTunnels(endpoints);
    const QByteArray response = fixture.responseTo("/safe/x", "r0");
    cr_assert(response.startsWith("HTTP/1.1 50"), "%s", response.constData());
    cr_assert_leq(fixture.requestCount(), 2, "the route allows two attempts");
}

Test(stranded_gateway, uses_another_vm_when_one_opens_no_tunnel)
{
    StrandedFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    fixture.refuseConnections();
    const SilentListener silent;
    fixture.setTunnels({StrandedFixture::endpoint(QStringLiteral("stopped"), 1),
                        StrandedFixture::endpoint(QStringLiteral("silent"), silent.port()),
                        StrandedFixture::endpoint(QStringLiteral("vm"), fixture.tunnels->port())});
    for (int number = 0; number < 5; ++number)
        cr_assert(fixture.responseTo("/safe/x", "r" + QByteArray::number(number)).endsWith("ran"));
}

Test(stranded_gateway, refuses_at_once_what_no_vm_can_reach)
{
    StrandedFixture fixture(2, [](const auto &, const auto &) {});
    fixture.refuseConnections();
    fixture.replicas.clear();
    const QByteArray response = fixture.responseTo("/once/x", "r0");
    cr_assert(response.startsWith("HTTP/1.1 503"), "%s", response.constData());
    cr_assert(response.contains("Retry-After"));
}

Test(stranded_gateway, does_not_take_its_lost_links_for_crashes_of_replicas)
{
    int sent = 0;
    StrandedFixture fixture(4, [&sent](const HttpRequest &request, const auto &exchange) {
        if (++sent <= 4)
            exchange.reset();
        else
            exchange.write(GatewayFixture::answer(request, "ran"));
    });
    // The connections to four replicas are reset in turn while they run the same request; after
    // each, the gateway cannot connect to that replica any more.
    for (int number = 0; number < 4; ++number) {
        std::ignore = fixture.responseTo("/once/x", "r" + QByteArray::number(number));
    }
    fixture.refuseConnections();
    cr_assert(fixture.responseTo("/once/y", "other").endsWith("ran"));
    fixture.loop.runFor(milliseconds(100));
    const QByteArray response = fixture.responseTo("/once/x", "r9");
    cr_assert(response.endsWith("ran"), "%s", response.constData());
}

Test(stranded_gateway, keeps_a_quiet_call_whose_replica_refuses_new_connections)
{
    StrandedFixture fixture(2, [](const HttpRequest &request, const auto &exchange) {
        exchange.writeAfter(milliseconds(1300), GatewayFixture::answer(request, "ran"));
    });
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r0"));
    fixture.loop.waitUntil([&] { return fixture.requestCount() == 1; }, "the request");
    const ScriptedReplica listening([](const auto &, const auto &) {});
    for (const auto &replica : fixture.replicas) {
        fixture.leadTunnels(replica->port(), listening.port());
        replica->stopListening();
    }
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the answer");
    cr_assert(caller.received().endsWith("ran"), "%s", caller.received().constData());
}

Test(stranded_gateway, sends_nothing_through_tunnels_to_an_evacuated_zone)
{
    StrandedFixture fixture(2, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    fixture.refuseConnections();
    cr_assert(fixture.responseTo("/once/x", "r1").endsWith("ran")); // leaves an idle tunnel
    fixture.gateway->setEvacuatedZones({"a"});
    cr_assert(fixture.responseTo("/once/x", "r2").startsWith("HTTP/1.1 503"));
    cr_assert_eq(fixture.requestCount(), 1);
}

// A call whose connection hangs is sent again through a tunnel without a new choice of replica.
Test(stranded_gateway, sends_nothing_to_a_zone_evacuated_while_a_connection_hangs)
{
    StrandedFixture fixture(1, [](const HttpRequest &request, const auto &exchange) {
        exchange.write(GatewayFixture::answer(request, "ran"));
    });
    fixture.silenceConnections();
    RawCaller caller(fixture.gateway->port());
    caller.send(GatewayFixture::request("POST", "/once/x", "r1"));
    fixture.loop.waitUntil([&] { return fixture.quota.taken == 1; }, "the call to be placed");
    fixture.gateway->setEvacuatedZones({"a"});
    fixture.loop.waitUntil([&] { return caller.received().contains("\r\n\r\n"); }, "the answer");
    cr_assert(caller.received().startsWith("HTTP/1.1 503"), "%s", caller.received().constData());
    cr_assert_eq(fixture.requestCount(), 0);
}

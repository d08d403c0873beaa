#include "support/GatewayFixture.h"
#include "support/ReplicaLink.h"

#include "lacewingmux_tunnel/server/TunnelServer.h"

#include <QTcpSocket>

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace lacewingmux;
using std::chrono::milliseconds;

namespace {

/*
    A randomized run of a gateway that loses and regains its links to the replicas, while the VMs
   that open tunnels stop, die and return, replicas break off, and callers leave. Checks what
   callers and replicas saw: calls that may run once, promises that a call has not run, whole
   answers of the right request, streams without gaps, and an end for each call.
*/
class LostLinksSoak
{
public:
    explicit LostLinksSoak(unsigned seed)
        : random(seed)
        , fixture(replicaCount, [this](const HttpRequest &request, const auto &exchange) {
            this->serve(request, exchange);
        })
    {
        for (int number = 0; number < replicaCount; ++number) {
            ReplicaInstance &instance = this->fixture.instances[static_cast<std::size_t>(number)];
            instance.address = QHostAddress(QStringLiteral("127.0.0.%1").arg(firstLink + number));
            this->links.push_back(std::make_unique<ReplicaLink>(instance.address, instance.port));
        }
        this->fixture.gateway->setReplicas(this->fixture.instances);
        for (int number = 0; number < tunnelVmCount; ++number)
            this->tunnelVms.push_back(this->startTunnelVm());
        this->announceTunnelVms();
    }

    void run()
    {
        for (int step = 0; step < steps; ++step) {
            this->startCall();
            if (this->below(3) == 0)
                this->injectFault();
            this->fixture.loop.runFor(milliseconds(5 + this->below(30)));
        }
        this->fixture.loop.waitUntil([this] { return this->allEnded(); }, "the end of all calls");
        for (const auto &[id, call] : this->calls)
            this->check(id, call);
    }

private:
    struct Call
    {
        QByteArray path;
        std::unique_ptr<RawCaller> caller;
        int runs = 0;
        bool left = false;
    };

    static constexpr int replicaCount = 3;
    static constexpr int tunnelVmCount = 2;
    static constexpr int firstLink = 20; ///< last number of the first link's address
    static constexpr int steps = 60;
    static constexpr int eventCount = 5;

    int below(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(this->random);
    }

    void startCall()
    {
        static const std::vector<QByteArray> paths{"/safe/x", "/once/x", "/stream/x", "/resume/x"};
        const QByteArray id = "r" + QByteArray::number(static_cast<int>(this->calls.size()));
        Call &call = this->calls[id];
        call.path = paths[static_cast<std::size_t>(this->below(4))];
        call.caller = std::make_unique<RawCaller>(this->fixture.gateway->port());
        call.caller->send(GatewayFixture::request("POST", call.path, id, "Connection: close\r\n"));
    }

    void serve(const HttpRequest &request, const ScriptedReplica::Exchange &exchange)
    {
        const QByteArray id = fieldValue(request.fields, "Lacewingmux-Request-Id");
        const auto known = this->calls.find(id);
        cr_assert(known != this->calls.end(), "nobody sent %s", id.constData());
        ++known->second.runs;
        const bool isStream = known->second.path != "/safe/x" && known->second.path != "/once/x";
        switch (this->below(6)) {
        case 0:
            exchange.reset();
            return;
        case 1:
            return; // no answer
        default:
            break;
        }
        if (!isStream) {
            exchange.writeAfter(milliseconds(this->below(150)),
                                GatewayFixture::answer(request, "ran " + id));
            return;
        }
        exchange.write(GatewayFixture::streamHead(request));
        const bool breaksOff = this->below(4) == 0;
        const int first = fieldValue(request.fields, "Last-Event-Id").toInt() + 1;
        milliseconds delay(0);
        for (int number = first; number <= eventCount; ++number) {
            delay += milliseconds(1 + this->below(60));
            if (breaksOff && number == eventCount)
                return;
            exchange.writeAfter(delay, GatewayFixture::event(number, id));
        }
        exchange.writeAfter(delay + milliseconds(1), "0\r\n\r\n");
    }

    void injectFault()
    {
        ReplicaLink &link = *this->links[static_cast<std::size_t>(this->below(replicaCount))];
        const auto vm = static_cast<std::size_t>(this->below(tunnelVmCount));
        switch (this->below(8)) {
        case 0:
        case 1:
            for (const auto &each : this->links)
                each->refuse();
            break;
        case 2:
            for (const auto &each : this->links)
                each->reset();
            break;
        case 3:
            link.reset();
            break;
        case 4:
        case 5:
            link.restore();
            break;
        case 6: // dies and returns
            this->tunnelVms[vm] = this->startTunnelVm();
            this->announceTunnelVms();
            break;
        default: // stops as planned, and returns
            this->fixture.gateway->recordTunnelStop(QString::number(vm));
            this->tunnelVms[vm]->beginStop([] {});
            this->stoppedVms.push_back(std::move(this->tunnelVms[vm]));
            this->tunnelVms[vm] = this->startTunnelVm();
            this->announceTunnelVms();
        }
    }

    [[nodiscard]] std::unique_ptr<TunnelServer> startTunnelVm()
    {
        TunnelServerSettings settings;
        settings.address = QHostAddress(QHostAddress::LocalHost);
        settings.secret = GatewayFixture::tunnelSecret;
        return std::make_unique<TunnelServer>(
                settings, this->fixture.loop.timers, this->fixture.metrics,
                [](QTcpSocket &socket, const QHostAddress &, std::uint16_t port) {
                    socket.connectToHost(QHostAddress(QHostAddress::LocalHost), port);
                });
    }

    void announceTunnelVms()
    {
        std::vector<TunnelEndpoint> endpoints;
        for (std::size_t number = 0; number < this->tunnelVms.size(); ++number)
            endpoints.push_back({QString::number(number), "a",
                                 QHostAddress(QHostAddress::LocalHost),
                                 this->tunnelVms[number]->port()});
        this->fixture.gateway->setTunnelEndpoints(endpoints);
    }

    [[nodiscard]] bool allEnded()
    {
        bool all = true;
        for (auto &[id, call] : this->calls) {
            if (!call.left && !call.caller->isClosed() && this->below(200) == 0) {
                call.left = true;
                call.caller->close();
            }
            all = all && (call.left || call.caller->isClosed());
        }
        return all;
    }

    static void check(const QByteArray &id, const Call &call)
    {
        const QByteArray &received = call.caller->received();
        const char *name = id.constData();
        if (call.path == "/once/x" || call.path == "/stream/x")
            cr_assert_leq(call.runs, 1, "%s ran %d times", name, call.runs);
        if (received.startsWith("HTTP/1.1 503") || received.startsWith("HTTP/1.1 429"))
            cr_assert_eq(call.runs, 0, "%s ran, and was answered: %s", name, received.constData());
        if (!call.left)
            cr_assert(received.startsWith("HTTP/1.1 ") || call.runs > 0, "%s got no answer", name);
        if (!received.startsWith("HTTP/1.1 200"))
            return;
        cr_assert(received.contains("Lacewingmux-Request-Id: " + id + "\r\n"), "%s: %s", name,
                  received.constData());
        if (received.contains("text/event-stream")) {
            const auto events = static_cast<int>(received.count("data: " + id + "\n"));
            cr_assert_eq(received.count("data: "), events, "%s got foreign events", name);
            for (int number = 1; number <= events; ++number)
                cr_assert_eq(received.count("id: " + QByteArray::number(number) + "\n"), 1,
                             "%s lacks event %d or has it twice", name, number);
            if (received.endsWith("0\r\n\r\n"))
                cr_assert_eq(events, eventCount, "%s ends before its last event", name);
        } else if (!call.left) {
            cr_assert(received.endsWith("\r\n\r\nran " + id), "%s: %s", name, received.constData());
        }
    }

    std::mt19937 random;
    std::map<QByteArray, Call> calls; ///< by request id
    GatewayFixture fixture;
    std::vector<std::unique_ptr<ReplicaLink>> links;
    std::vector<std::unique_ptr<TunnelServer>> tunnelVms;
    std::vector<std::unique_ptr<TunnelServer>> stoppedVms;
};

} // namespace

Test(lost_links_soak, keeps_its_promises_while_links_and_tunnel_vms_come_and_go, .timeout = 3600)
{
    constexpr int defaultSeeds = 4;
    const int requested = qEnvironmentVariableIntValue("LACEWINGMUX_SEEDS");
    const int first = qEnvironmentVariableIntValue("LACEWINGMUX_FIRST_SEED");
    for (int seed = first; seed < first + (requested > 0 ? requested : defaultSeeds); ++seed) {
        cr_log_info("seed %d", seed);
        LostLinksSoak soak(static_cast<unsigned>(seed));
        soak.run();
    }
}

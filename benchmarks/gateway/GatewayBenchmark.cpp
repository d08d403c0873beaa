#include "replica/RawCaller.h"
#include "replica/ScriptedReplica.h"

#include "lacewingmux_core/logging/LogOutput.h"
#include "lacewingmux_core/threads/ServiceThread.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_gateway/forwarding/Gateway.h"
#include "lacewingmux_gateway/forwarding/TeamQuota.h"
#include "lacewingmux_gateway/forwarding/TurnStore.h"
#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "lacewingmux_report/metrics/HistogramMetrics.h"
#include "platform/HttpDialect.h"

#include <QCoreApplication>
#include <QEventLoop>

#include <cstdio>
#include <ctime>

/*
 * Measures the processor time of the gateway for a plain call and for a streamed turn. The gateway
 * runs on a separate thread, whose processor time is measured; callers and replica share another.
 */

namespace {

using namespace lacewingmux;
using std::chrono::milliseconds;

constexpr int callCount = 4000;
constexpr int callerCount = 16;
constexpr int eventCount = 18;

class UnlimitedQuota final : public TeamQuota
{
public:
    void take(const QuotaRequest &, Callback callback) override
    {
        callback({true, milliseconds(0)});
    }
    void refund(const QuotaRequest &) override
    { }
};

class ImmediateTurnStore final : public TurnStore
{
public:
    void open(const TurnRequest &, AdmissionCallback callback) override
    {
        callback({TurnOutcome::Ready, {}, milliseconds(0)});
    }
    void store(const TurnRequest &, const QByteArray &, const QByteArray &, std::int64_t,
               StoredCallback callback) override
    {
        callback(true);
    }
    void settle(const TurnRequest &, std::int64_t) override
    { }
};

struct BenchmarkServices
{
    QtTimerService timers;
    HistogramMetrics metrics;
    UnlimitedQuota quota;
    ImmediateTurnStore turnStore;
    std::unique_ptr<Gateway> gateway;
};

double threadSeconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::shared_ptr<const RoutingTable> makeTable()
{
    GatewayRoute plain;
    plain.name = "plain";
    plain.host = "bench.example";
    plain.prefix = "/plain/";
    plain.kind = RouteKind::Idempotent;
    plain.targets = {{"service", 1}};
    plain.timeout = milliseconds(5000);
    plain.isPublic = true;
    GatewayRoute turns = plain;
    turns.name = "turns";
    turns.prefix = "/turns/";
    turns.kind = RouteKind::Stream;
    turns.keepsHistory = true;
    GatewayService service;
    service.name = "service";
    return std::make_shared<RoutingTable>(1, std::vector{plain, turns}, std::vector{service},
                                          std::vector<GatewayTeam>(),
                                          QHash<QByteArray, QByteArray>(), false, HttpLimits());
}

void answer(const HttpRequest &request, const ScriptedReplica::Exchange &exchange)
{
    const QByteArray id = fieldValue(request.fields, "Lacewingmux-Request-Id");
    const QByteArray head = "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: " + id
                            + "\r\nLacewingmux-Server-Stamp: s\r\nKeep-Alive: timeout=5\r\n";
    if (!request.target.startsWith("/turns/")) {
        exchange.write(head + "Content-Length: 800\r\n\r\n" + QByteArray(800, 'x'));
        return;
    }
    exchange.write(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= eventCount; ++event)
        exchange.writeAfter(milliseconds(event),
                            encodeChunk("id: " + QByteArray::number(event)
                                        + "\ndata: " + QByteArray(80, 'y') + "\n\n"));
    exchange.writeAfter(milliseconds(eventCount + 1), lastChunk());
}

QByteArray requestText(const QByteArray &path, qsizetype bodyBytes, int number)
{
    HttpFields fields{{"Host", "bench.example"},
                      {"Lacewingmux-Request-Id", QByteArray::number(number, 16)},
                      {"Lacewingmux-Program-Id", "p" + QByteArray::number(number)},
                      {"Lacewingmux-Session-Id", "s" + QByteArray::number(number)},
                      {"Lacewingmux-Deadline-Ms", "5000"},
                      {"Lacewingmux-Token-Usage", "14280,588"},
                      {"Lacewingmux-Prefix-Hash", "5c1e07a2:12600,e4402b7d:1680"}};
    return requestHeadText("POST", path, fields, bodyBytes) + QByteArray(bodyBytes, 'b');
}

/** Sends the calls over the callers' connections; each caller waits for its response. */
void runCalls(std::uint16_t port, const QByteArray &path, qsizetype bodyBytes)
{
    QEventLoop loop;
    std::vector<std::unique_ptr<RawCaller>> callers;
    int sent = 0;
    const QByteArray end =
            path.startsWith("/turns/") ? QByteArray("0\r\n\r\n") : QByteArray(800, 'x');
    for (int index = 0; index < callerCount; ++index) {
        callers.push_back(std::make_unique<RawCaller>(port));
        callers.back()->send(requestText(path, bodyBytes, ++sent));
    }
    int done = 0;
    while (done < callCount) {
        loop.processEvents(QEventLoop::WaitForMoreEvents);
        for (const auto &caller : callers) {
            if (!caller->received().endsWith(end))
                continue;
            ++done;
            caller->forget();
            if (sent < callCount)
                caller->send(requestText(path, bodyBytes, ++sent));
        }
    }
}

void measure(ServiceThread<BenchmarkServices> &front, std::uint16_t port, const QByteArray &path,
             qsizetype bodyBytes, const char *name)
{
    const auto secondsNow = [&front] {
        double seconds = 0;
        QEventLoop loop;
        front.post([&](BenchmarkServices &) {
            seconds = threadSeconds();
            QMetaObject::invokeMethod(&loop, &QEventLoop::quit, Qt::QueuedConnection);
        });
        loop.exec();
        return seconds;
    };
    const double before = secondsNow();
    runCalls(port, path, bodyBytes);
    const double spent = secondsNow() - before;
    std::printf("%s: %.1f us of processor time a call\n", name, spent / callCount * 1e6);
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    LogOutput::setWriter([](LogSeverity, const std::string &) {});
    const ScriptedReplica replica(answer);
    std::uint16_t port = 0;
    ServiceThread<BenchmarkServices> front(QStringLiteral("front"), [&port] {
        auto made = std::make_unique<BenchmarkServices>();
        GatewaySettings settings;
        settings.address = QHostAddress(QHostAddress::LocalHost);
        settings.zone = "a";
        made->gateway = std::make_unique<Gateway>(settings, made->timers, platformDialect(),
                                                  made->quota, made->turnStore, made->metrics,
                                                  [](const CrashCoincidence &) {});
        port = made->gateway->port();
        return made;
    });
    front.post([replicaPort = replica.port()](BenchmarkServices &services) {
        std::vector<ReplicaInstance> replicas;
        for (int number = 0; number < 9; ++number) {
            ReplicaInstance instance;
            instance.id = "i-" + QByteArray::number(number);
            instance.service = "service";
            instance.zone = "a";
            instance.address = QHostAddress(QHostAddress::LocalHost);
            instance.port = replicaPort;
            instance.slots = 64;
            replicas.push_back(instance);
        }
        services.gateway->setReplicas(replicas);
        services.gateway->setRoutingTable(makeTable());
    });
    measure(front, port, "/plain/x", 600, "plain call");
    measure(front, port, "/turns/x", 17000, "turn of 18 events");
    return 0;
}

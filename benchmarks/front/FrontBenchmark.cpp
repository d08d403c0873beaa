#include "BlockingCaller.h"
#include "ServerThread.h"

#include "lacewingmux_allowance/admission/AdmissionGate.h"
#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_http/forward/ForwardReceiver.h"
#include "lacewingmux_http/forward/OwnerForwarder.h"
#include "lacewingmux_http/front/RequestFront.h"
#include "lacewingmux_http/front/SentRequests.h"
#include "lacewingmux_http/server/CallerAnswer.h"
#include "lacewingmux_http/server/CallerServer.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_zone/views/FleetViews.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QHttpServer>
#include <QThread>

#include <benchmark/benchmark.h>

#include <vector>

namespace lacewingmux {
namespace {

constexpr int manyCallers = 16;
const QByteArray answerBody = R"({"choices":[{"message":{"content":"ok"}}],"end":"<end>"})";
const QByteArray answerEnd = R"("<end>"})";
const QString programId = QStringLiteral("a~1~1~a1~1");

/** Answers every request at once. */
class InstantOwner final : public OwnerService
{
public:
    OwnerRequestHandle handle(const OwnerRequest &request, ResponseSink sink) override
    {
        benchmark::DoNotOptimize(request.body.size());
        sink.begin(200, {{"Content-Type", "application/json"}});
        sink.chunk(answerBody);
        sink.end();
        return 1;
    }
    void callerGone(OwnerRequestHandle) override
    { }
    void withdrawKey(const QString &) override
    { }
};

class OpenGate final : public AdmissionGate
{
public:
    void admit(const QString &, std::function<void(const AdmissionDecision &)> callback) override
    {
        callback({true, ErrorKind::RateLimited, {}});
    }
};

std::shared_ptr<const Configuration> oneRoute()
{
    auto configuration = std::make_shared<Configuration>();
    Route route;
    route.name = QStringLiteral("assistant");
    configuration->routes = {route};
    return configuration;
}

/** A front with a server, in front of any owner. */
class FrontParts
{
public:
    explicit FrontParts(OwnerService &owner)
        : front(timers, metrics, gate, owner, sent,
                {[](const QByteArray &) {
                     return AuthenticationResult{
                             true, {}, QStringLiteral("one"), QStringLiteral("k")};
                 },
                 {},
                 {},
                 {}})
        , server(timers, metrics, {},
                 [this](CallerRequest request, const std::shared_ptr<CallerAnswer> &answer) {
                     this->front.handle(std::move(request), answer);
                 })
    {
        this->front.adoptConfiguration(oneRoute());
    }

    QtTimerService timers;
    IgnoringMetricsRecorder metrics;
    OpenGate gate;
    SentRequests sent;
    RequestFront front;
    CallerServer server;
};

ServerThread::Built buildQtServer()
{
    auto server = std::make_shared<QHttpServer>();
    server->route("/v1/programs/<arg>/calls/<arg>", [](const QString &, int) {
        return QHttpServerResponse("application/json", answerBody);
    });
    return {server->listen(QHostAddress::LocalHost), server};
}

ServerThread::Built buildBareServer()
{
    struct Parts
    {
        QtTimerService timers;
        IgnoringMetricsRecorder metrics;
        CallerServer server{
                timers,
                metrics,
                {},
                [](const CallerRequest &, const std::shared_ptr<CallerAnswer> &answer) {
                    answer->send(200, {{"Content-Type", "application/json"}}, answerBody);
                }};
    };
    auto parts = std::make_shared<Parts>();
    return {parts->server.listen(QHostAddress::LocalHost, 0), parts};
}

ServerThread::Built buildFront()
{
    struct Parts
    {
        InstantOwner owner;
        FrontParts front{owner};
    };
    auto parts = std::make_shared<Parts>();
    return {parts->front.server.listen(QHostAddress::LocalHost, 0), parts};
}

PeerHubSettings hubSettings(const QString &vm)
{
    PeerHubSettings settings;
    settings.self = {vm, QStringLiteral("a"), 1};
    settings.fleet = QStringLiteral("benchmark");
    settings.channel = PeerChannel::Traffic;
    settings.sharedSecret = "secret of the benchmark";
    return settings;
}

ServerThread::Built buildOwnerVm()
{
    struct Parts
    {
        QtTimerService timers;
        InstantOwner owner;
        TcpPeerHub hub{hubSettings(QStringLiteral("a1")), timers};
        ForwardReceiver receiver{hub, owner};
    };
    auto parts = std::make_shared<Parts>();
    return {parts->hub.port(), parts};
}

ServerThread::Built buildForwardingFront(std::uint16_t ownerPort)
{
    struct Parts
    {
        InstantOwner unused;
        QtTimerService timers;
        IgnoringMetricsRecorder metrics;
        SentRequests sent;
        TcpPeerHub hub{hubSettings(QStringLiteral("a2")), timers};
        OwnerForwarder forwarder{timers, metrics, hub, unused, sent, {}};
        FrontParts front{forwarder};
    };
    auto parts = std::make_shared<Parts>();
    const VmDescriptor owner{{QStringLiteral("a1"), QStringLiteral("a"), 1},
                             QStringLiteral("127.0.0.1"),
                             0,
                             ownerPort,
                             false};
    parts->hub.setPeers({owner});
    const auto view =
            std::make_shared<ZoneView>(QStringLiteral("a"), 1, std::vector<VmDescriptor>{owner});
    parts->forwarder.adoptViews(std::make_shared<FleetViews>(
            std::map<QString, std::shared_ptr<const ZoneView>>{{QStringLiteral("a"), view}}));
    return {parts->front.server.listen(QHostAddress::LocalHost, 0), parts};
}

QByteArray callRequest()
{
    const QByteArray body =
            R"({"route":"assistant","messages":[{"role":"user","content":"No dial tone"}]})";
    return "POST /v1/programs/" + programId.toLatin1()
           + "/calls/1 HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer some-callers-key\r\n"
             "Content-Type: application/json\r\nContent-Length: "
           + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

/** One request at a time on each of the callers' connections; an iteration is one round. */
void drive(benchmark::State &state, std::uint16_t port)
{
    const auto callerCount = static_cast<std::size_t>(state.range(0));
    std::vector<std::unique_ptr<BlockingCaller>> callers;
    for (std::size_t index = 0; index < callerCount; ++index)
        callers.push_back(std::make_unique<BlockingCaller>(port));
    const QByteArray request = callRequest();
    for (auto _ : state) {
        for (const auto &caller : callers)
            caller->send(request);
        for (const auto &caller : callers)
            caller->receive(answerEnd);
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(callerCount));
}

/** The library alone: no bounds, no order, no front. */
void qtHttpServer(benchmark::State &state)
{
    const ServerThread server(buildQtServer);
    drive(state, server.port());
}

void callerServer(benchmark::State &state)
{
    const ServerThread server(buildBareServer);
    drive(state, server.port());
}

void requestFront(benchmark::State &state)
{
    const ServerThread server(buildFront);
    drive(state, server.port());
}

void forwardedRequest(benchmark::State &state)
{
    const ServerThread owner(buildOwnerVm);
    const ServerThread front([&owner] { return buildForwardingFront(owner.port()); });
    drive(state, front.port());
}

BENCHMARK(qtHttpServer)->Arg(1)->Arg(manyCallers)->UseRealTime()->MeasureProcessCPUTime();
BENCHMARK(callerServer)->Arg(1)->Arg(manyCallers)->UseRealTime()->MeasureProcessCPUTime();
BENCHMARK(requestFront)->Arg(1)->Arg(manyCallers)->UseRealTime()->MeasureProcessCPUTime();
BENCHMARK(forwardedRequest)->Arg(1)->Arg(manyCallers)->UseRealTime()->MeasureProcessCPUTime();

} // namespace
} // namespace lacewingmux

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}

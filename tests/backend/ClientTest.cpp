#include "engine/library/EngineStandin.h"
#include "lacewingmux_backend/clients/ConnectionPool.h"
#include "lacewingmux_backend/clients/EngineClient.h"
#include "lacewingmux_backend/clients/ServiceClient.h"
#include "loops/EventLoop.h"
#include "service/library/ServiceStandin.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpServer>
#include <QTcpSocket>

#include <criterion/criterion.h>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

QUrl loopback(std::uint16_t port)
{
    return QUrl(QStringLiteral("http://127.0.0.1:%1").arg(port));
}

/** Returns the text of a chat completion. */
QString contentOf(const BackendResponse &response)
{
    const QJsonObject json = QJsonDocument::fromJson(response.body).object();
    const QJsonObject choice = json.value(QStringLiteral("choices")).toArray().at(0).toObject();
    const QJsonObject message = choice.value(QStringLiteral("message")).toObject();
    return message.value(QStringLiteral("content")).toString();
}

/** A server that writes the given bytes after each request and then closes the connection. With
    no bytes it only closes the connection. */
class RawServer
{
public:
    explicit RawServer(QByteArray responseBytes)
        : response(std::move(responseBytes))
    {
        this->server.listen(QHostAddress::LocalHost);
        QObject::connect(&this->server, &QTcpServer::newConnection, &this->server,
                         [this] { this->accept(); });
    }

    QUrl url() const
    {
        return loopback(this->server.serverPort());
    }

    int requests = 0;

private:
    void accept()
    {
        QTcpSocket *socket = this->server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
            if (!socket->readAll().contains(" HTTP/1.1\r\n"))
                return;
            ++this->requests;
            socket->write(this->response);
            socket->disconnectFromHost();
        });
    }

    QTcpServer server;
    QByteArray response;
};

struct Fixture
{
    EventLoop loop;
    ConnectionPool connections{loop.timers};
    EngineClient engineClient{connections, loop.timers};
    ServiceClient serviceClient{connections, loop.timers};
    std::optional<BackendResponse> response;
    QByteArray chunks;

    BackendCall call(const QUrl &server, bool idempotent)
    {
        BackendCall backendCall;
        backendCall.server = server;
        backendCall.method = "POST";
        backendCall.path = "/book?day=1";
        backendCall.body = "a truck visit";
        backendCall.requestId = QStringLiteral("r1");
        backendCall.idempotent = idempotent;
        return backendCall;
    }

    BackendCall chat(const QUrl &server, bool stream)
    {
        BackendCall backendCall = this->call(server, true);
        backendCall.path = "/v1/chat/completions";
        backendCall.body = R"({"messages":[{"role":"user","content":"the coin box is stuck"}]})";
        backendCall.program = QStringLiteral("p1");
        backendCall.stream = stream;
        return backendCall;
    }

    BackendRunListener listener()
    {
        return {[this](const QByteArray &bytes) { this->chunks += bytes; },
                [this](const BackendResponse &result) { this->response = result; }};
    }

    const BackendResponse &finish(std::unique_ptr<BackendRun> run)
    {
        this->loop.waitUntil([this] { return this->response.has_value(); }, "a response");
        run.reset();
        return *this->response;
    }
};

} // namespace

Test(ServiceClient, aRequestWhoseConnectionClosesBeforeTheResponseIsNeverResent)
{
    for (const bool idempotent : {false, true}) {
        Fixture f;
        RawServer server("");
        const auto &response =
                f.finish(f.serviceClient.start(f.call(server.url(), idempotent), f.listener()));
        f.loop.runFor(100ms);
        cr_assert(response.failure == BackendFailure::ConnectionLost);
        cr_assert(response.executed == Executed::Unknown);
        cr_assert_eq(server.requests, 1, "requests: %d", server.requests);
    }
}

Test(ServiceClient, aRequestWithoutBodyIsNeverResent)
{
    Fixture f;
    RawServer server("");
    BackendCall call = f.call(server.url(), false);
    call.method = "DELETE";
    call.body.clear();
    const auto &response = f.finish(f.serviceClient.start(call, f.listener()));
    f.loop.runFor(100ms);
    cr_assert(response.executed == Executed::Unknown);
    cr_assert_eq(server.requests, 1, "requests: %d", server.requests);
}

Test(ServiceClient, aRefusedConnectionIsCertainlyNotRun)
{
    Fixture f;
    standin::ServiceStandin service;
    const std::uint16_t port = service.start(0);
    service.crash();
    const auto &response =
            f.finish(f.serviceClient.start(f.call(loopback(port), false), f.listener()));
    cr_assert(response.failure == BackendFailure::NotSent);
    cr_assert(response.executed == Executed::No);
}

// Guards against a silent server that is taken for one that crashed, and against a call that is
// reported as possibly run although no connection was established.
Test(ServiceClient, aServerThatAnswersNoConnectionAttemptHasCertainlyNotRun)
{
    Fixture f;
    QTcpServer server; // never accepts, so its queue of connections stays full
    server.setListenBacklogSize(1);
    server.listen(QHostAddress::LocalHost);
    server.pauseAccepting();
    std::vector<std::unique_ptr<QTcpSocket>> waiting;
    for (int count = 0; count < 8; ++count) {
        waiting.push_back(std::make_unique<QTcpSocket>());
        waiting.back()->connectToHost(QHostAddress::LocalHost, server.serverPort());
    }
    f.loop.runFor(50ms);
    const auto &response = f.finish(
            f.serviceClient.start(f.call(loopback(server.serverPort()), false), f.listener()));
    cr_assert(response.failure == BackendFailure::ConnectTimedOut);
    cr_assert(response.executed == Executed::No);
}

Test(ServiceClient, aTruncatedResponseIsALostConnection)
{
    for (const char *cut : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}) {
        Fixture f;
        RawServer server(cut);
        const auto &response =
                f.finish(f.serviceClient.start(f.call(server.url(), true), f.listener()));
        cr_assert(response.failure == BackendFailure::ConnectionLost, "%s", cut);
        cr_assert(response.executed == Executed::Unknown);
    }
}

Test(ServiceClient, anErrorStatusIsACompleteResponse)
{
    for (const int status : {401, 404, 409, 500, 503}) {
        Fixture f;
        RawServer server("HTTP/1.1 " + QByteArray::number(status)
                         + " No\r\nContent-Length: 4\r\n\r\nbody");
        const auto &response =
                f.finish(f.serviceClient.start(f.call(server.url(), false), f.listener()));
        cr_assert(response.completed(), "%d", status);
        cr_assert_eq(response.httpStatus, status);
        cr_assert(response.body == "body");
    }
}

Test(ServiceClient, aResponseOverItsSizeLimitIsAborted)
{
    Fixture f;
    RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + QByteArray(5000, 'x'));
    BackendCall call = f.call(server.url(), false);
    call.maxResponseBytes = 1000;
    const auto &response = f.finish(f.serviceClient.start(call, f.listener()));
    cr_assert(response.failure == BackendFailure::ResponseTooLarge);
    cr_assert(response.executed == Executed::Unknown);
}

Test(ServiceClient, credentialsAreNotForwarded)
{
    Fixture f;
    standin::EngineStandin engine;
    BackendCall call = f.chat(loopback(engine.start(0)), false);
    call.headers = {{"Authorization", "Bearer top-secret"},
                    {"X-Api-Key", "top-secret"},
                    {"Cookie", "top-secret"},
                    {"X-Trace", "visible"}};
    f.finish(f.engineClient.start(call, f.listener()));
    cr_assert(engine.hasSeen("visible"));
    cr_assert_not(engine.hasSeen("top-secret"));
}

Test(ServiceClient, aHangingServiceTimesOutAndMayHaveRun)
{
    Fixture f;
    standin::ServiceStandin service;
    service.setFaults({.hang = true});
    BackendCall call = f.call(loopback(service.start(0)), false);
    call.timeout = 100ms;
    const auto &response = f.finish(f.serviceClient.start(call, f.listener()));
    cr_assert(response.failure == BackendFailure::TimedOut);
    cr_assert(response.executed == Executed::Unknown);
    cr_assert_eq(service.runs(QStringLiteral("r1")), 1);
}

Test(EngineClient, returnsAnUnstreamedResponseWithUsage)
{
    Fixture f;
    standin::EngineStandin engine;
    BackendCall call = f.chat(loopback(engine.start(0)), false);
    call.maxOutputTokens = 3;
    const auto &response = f.finish(f.engineClient.start(call, f.listener()));
    cr_assert(response.completed());
    cr_assert_eq(response.httpStatus, 200);
    cr_assert_eq(response.inputTokens, 5);
    cr_assert_eq(response.outputTokens, 3);
}

Test(EngineClient, aStreamPassesOnEachEventOnce)
{
    Fixture f;
    standin::EngineStandin engine;
    const auto &response =
            f.finish(f.engineClient.start(f.chat(loopback(engine.start(0)), true), f.listener()));
    cr_assert(response.completed());
    cr_assert_eq(response.outputTokens, 16);
    cr_assert_eq(f.chunks.count("data: "), 18);
    cr_assert_eq(contentOf(response).split(QLatin1Char(' ')).size(), 16);
}

Test(EngineClient, aBrokenStreamIsResumedWithoutASecondRun)
{
    Fixture f;
    standin::EngineStandin engine;
    const QUrl url = loopback(engine.start(0));
    engine.setFaults({.cutAfterTokens = 4});
    const auto run = f.engineClient.start(f.chat(url, true), f.listener());
    f.loop.waitUntil([&f] { return f.chunks.count("data: ") >= 4; }, "the cut");
    engine.setFaults({});
    f.loop.waitUntil([&f] { return f.response.has_value(); }, "a response");
    cr_assert(f.response->completed(), "%s", qPrintable(f.response->message));
    cr_assert_eq(f.chunks.count("data: "), 18);
    cr_assert_eq(contentOf(*f.response).split(QLatin1Char(' ')).size(), 16);
    cr_assert_eq(engine.runs(QStringLiteral("r1")), 1);
}

Test(EngineClient, aStreamWhoseEngineCrashesIsIncomplete)
{
    Fixture f;
    standin::EngineStandin engine({.stepTime = 20ms});
    const auto run = f.engineClient.start(f.chat(loopback(engine.start(0)), true), f.listener());
    f.loop.waitUntil([&f] { return f.chunks.count("data: ") >= 2; }, "two events");
    engine.crash();
    f.loop.waitUntil([&f] { return f.response.has_value(); }, "a response");
    cr_assert(f.response->failure == BackendFailure::ConnectionLost);
    cr_assert(f.response->executed == Executed::Unknown);
}

Test(EngineClient, anotherRequestsResponseIsNotAccepted)
{
    Fixture f;
    standin::EngineStandin engine;
    const QUrl url = loopback(engine.start(0));
    engine.setFaults({.duplicateAnswer = true});
    f.finish(f.engineClient.start(f.chat(url, false), f.listener()));
    engine.setFaults({});
    f.response.reset();
    BackendCall second = f.chat(url, false);
    second.requestId = QStringLiteral("r2");
    const auto &response = f.finish(f.engineClient.start(second, f.listener()));
    const QJsonObject json = QJsonDocument::fromJson(response.body).object();
    cr_assert(!response.completed()
              || json.value(QStringLiteral("id")).toString() == second.requestId);
}

Test(EngineClient, ordersCarryTheirFencingToken)
{
    Fixture f;
    standin::EngineStandin engine;
    const QUrl url = loopback(engine.start(0));
    std::vector<OrderOutcome> outcomes;
    const auto note = [&outcomes](OrderOutcome outcome) { outcomes.push_back(outcome); };
    f.engineClient.issueOrder(url, {EngineOrderKind::LoadAdapter, QStringLiteral("a"), 5}, note);
    f.loop.waitUntil([&outcomes] { return outcomes.size() == 1; }, "the first order");
    f.engineClient.issueOrder(url, {EngineOrderKind::LoadAdapter, QStringLiteral("b"), 4}, note);
    f.loop.waitUntil([&outcomes] { return outcomes.size() == 2; }, "the second order");
    cr_assert(outcomes[0] == OrderOutcome::Done);
    cr_assert(outcomes[1] == OrderOutcome::Fenced);
}

Test(EngineClient, aPrefixIsTransferredByExportAndImport)
{
    Fixture f;
    standin::EngineStandin from;
    standin::EngineStandin to;
    const QUrl fromUrl = loopback(from.start(0));
    const QUrl toUrl = loopback(to.start(0));
    f.finish(f.engineClient.start(f.chat(fromUrl, false), f.listener()));
    bool imported = false;
    f.engineClient.exportCache(fromUrl, QStringLiteral("p1"), [&](std::optional<QByteArray> bytes) {
        cr_assert(bytes.has_value());
        f.engineClient.importCache(toUrl, *bytes, [&imported](bool done) { imported = done; });
    });
    f.loop.waitUntil([&imported] { return imported; }, "the import");
    cr_assert_gt(to.tokensHeldBy(QStringLiteral("p1")), 0);
    cr_assert_eq(to.tokensHeldBy(QStringLiteral("p1")), from.tokensHeldBy(QStringLiteral("p1")));
}

#include "support/GatewayFixture.h"

#include "lacewingmux_gateway/http/HttpText.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds defaultTimeout{1500};

GatewayRoute makeRoute(const char *prefix, RouteKind kind)
{
    GatewayRoute route;
    route.name = prefix;
    route.host = "shop.example";
    route.prefix = prefix;
    route.kind = kind;
    route.targets = {{"service", 1}};
    route.timeout = defaultTimeout;
    route.attempts = 2;
    return route;
}

std::shared_ptr<const RoutingTable> makeTable(bool isEngine, milliseconds timeout = defaultTimeout)
{
    std::vector<GatewayRoute> routes{makeRoute("/safe/", RouteKind::Idempotent),
                                     makeRoute("/once/", RouteKind::SingleRun),
                                     makeRoute("/stream/", RouteKind::Stream),
                                     makeRoute("/resume/", RouteKind::Stream),
                                     makeRoute("/turn/", RouteKind::Stream),
                                     makeRoute("/open/", RouteKind::Idempotent),
                                     makeRoute("/resumable-turn/", RouteKind::Stream)};
    routes[3].resumable = true;
    routes[4].keepsHistory = true;
    routes[4].retention = milliseconds(60000);
    routes[5].isPublic = true;
    routes[6].resumable = true;
    routes[6].keepsHistory = true;
    routes[6].retention = milliseconds(60000);
    for (GatewayRoute &route : routes)
        route.timeout = timeout;
    GatewayService service;
    service.name = "service";
    service.isEngine = isEngine;
    service.tokensPerEvent = 14;
    GatewayTeam team;
    team.name = "team";
    team.requestsPerSecond = 10;
    team.burst = 10;
    return std::make_shared<RoutingTable>(1, routes, std::vector{service}, std::vector{team},
                                          QHash<QByteArray, QByteArray>{{"good", "team"}}, true,
                                          HttpLimits());
}

} // namespace

void ToggledQuota::take(const QuotaRequest &request, Callback callback)
{
    if (request.team.name != "team") {
        callback(this->takeAtRate(request.team));
        return;
    }
    this->taken += this->open ? 1 : 0;
    callback({this->open, milliseconds(700)});
}

QuotaDecision ToggledQuota::takeAtRate(const GatewayTeam &holder)
{
    const auto now = std::chrono::steady_clock::now();
    const auto [last, isNew] = this->refilled.try_emplace(holder.name, now);
    const std::chrono::duration<double> passed = now - last->second;
    double &tokens = this->rateTokens[holder.name];
    tokens = isNew ? 1.0 : std::min(1.0, tokens + passed.count() * holder.requestsPerSecond);
    last->second = now;
    if (tokens < 1.0) {
        const double missing = (1.0 - tokens) / holder.requestsPerSecond;
        return {false, std::chrono::ceil<milliseconds>(std::chrono::duration<double>(missing))};
    }
    tokens -= 1.0;
    return {true, milliseconds(0)};
}

void ToggledQuota::refund(const QuotaRequest &)
{
    ++this->refunded;
}

void ScriptedTurnStore::open(const TurnRequest &turn, AdmissionCallback callback)
{
    this->openedTurns.push_back(turn);
    callback(this->admission);
}

void ScriptedTurnStore::store(const TurnRequest &, const QByteArray &input,
                              const QByteArray &output, std::int64_t, StoredCallback callback)
{
    this->storedInput = input;
    this->storedOutput = output;
    this->pendingStore = std::move(callback);
}

void ScriptedTurnStore::settle(const TurnRequest &, std::int64_t tokens)
{
    this->settlements.push_back(tokens);
}

GatewayFixture::GatewayFixture(int replicaCount, const ScriptedReplica::Handler &handler,
                               const CallDialect &dialect)
{
    GatewaySettings settings;
    settings.address = QHostAddress(QHostAddress::LocalHost);
    settings.zone = "a";
    settings.tunnelSecret = tunnelSecret;
    settings.placement.drainLimit = drainLimit;
    settings.bufferedResponseLimit = bufferedResponseLimit;
    settings.stopListeningAfter = milliseconds(100);
    settings.stopAcceptingAfter = milliseconds(600);
    this->gateway = std::make_unique<Gateway>(settings, this->loop.timers, dialect, this->quota,
                                              this->turnStore, this->metrics,
                                              [](const CrashCoincidence &) {});
    for (int number = 0; number < replicaCount; ++number) {
        this->replicas.push_back(std::make_unique<ScriptedReplica>(handler));
        ReplicaInstance instance;
        instance.id = "i-" + QByteArray::number(number);
        instance.service = "service";
        instance.zone = "a";
        instance.address = QHostAddress(QHostAddress::LocalHost);
        instance.port = this->replicas.back()->port();
        instance.slots = 4;
        this->instances.push_back(instance);
    }
    this->gateway->setReplicas(this->instances);
    this->gateway->setRoutingTable(makeTable(false));
}

void GatewayFixture::useEngine()
{
    this->gateway->setRoutingTable(makeTable(true));
}

void GatewayFixture::useTimeout(milliseconds timeout)
{
    this->gateway->setRoutingTable(makeTable(false, timeout));
}

QByteArray GatewayFixture::request(const QByteArray &method, const QByteArray &path,
                                   const QByteArray &id, const QByteArray &fields,
                                   const QByteArray &body)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: shop.example\r\nLacewingmux-Request-Id: " + id
           + "\r\nAuthorization: Token good\r\n" + fields
           + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

QByteArray GatewayFixture::answer(const HttpRequest &request, const QByteArray &body,
                                  const QByteArray &fields)
{
    return "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: "
           + fieldValue(request.fields, "Lacewingmux-Request-Id")
           + "\r\nLacewingmux-Server-Stamp: stamp\r\nKeep-Alive: timeout=5\r\n" + fields
           + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

QByteArray GatewayFixture::streamHead(const HttpRequest &request)
{
    return "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: "
           + fieldValue(request.fields, "Lacewingmux-Request-Id")
           + "\r\nLacewingmux-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n";
}

QByteArray GatewayFixture::event(int id, const QByteArray &data)
{
    return encodeChunk("id: " + QByteArray::number(id) + "\ndata: " + data + "\n\n");
}

int GatewayFixture::requestCount() const
{
    int count = 0;
    for (const auto &replica : this->replicas)
        count += static_cast<int>(replica->requests().size());
    return count;
}

} // namespace lacewingmux

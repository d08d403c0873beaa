#include "backend/support/DispatcherFixture.h"

#include "lacewingmux_zone/views/ZoneView.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>

#include <criterion/criterion.h>

namespace lacewingmux {

namespace {

const VmIncarnation self{QStringLiteral("vm1"), QStringLiteral("zone-a"), 1};

QByteArray digestOf(const QByteArray &body)
{
    return QCryptographicHash::hash(body, QCryptographicHash::Sha256);
}

} // namespace

DispatcherFixture::DispatcherFixture(PowerBudget *power)
    : dispatcher({.timers = loop.timers,
                  .metrics = metrics,
                  .power = power,
                  .self = self,
                  .coincidenceRecorded = [this](const CrashCoincidence &seen) {
                      this->coincidences.push_back(seen);
                  }})
{
    VmDescriptor member;
    member.incarnation = self;
    this->dispatcher.orderLease().adoptView(ZoneView(self.zone, 1, {member}),
                                            this->loop.timers.now());
}

standin::EngineStandin &DispatcherFixture::addEngine(const standin::EngineSettings &settings)
{
    this->engines.push_back(std::make_unique<standin::EngineStandin>(settings));
    this->addReplica(QStringLiteral("e%1").arg(this->engines.size() - 1),
                     this->engines.back()->start(0), QStringLiteral("chat"),
                     RouteKind::ModelEngine);
    return *this->engines.back();
}

standin::ServiceStandin &DispatcherFixture::addService()
{
    this->services.push_back(std::make_unique<standin::ServiceStandin>());
    this->addReplica(QStringLiteral("s%1").arg(this->services.size() - 1),
                     this->services.back()->start(0), QStringLiteral("book"), RouteKind::Service);
    return *this->services.back();
}

void DispatcherFixture::addReplica(const QString &name, std::uint16_t port, const QString &route,
                                   RouteKind kind)
{
    ReplicaSnapshot snapshot;
    snapshot.record.name = name;
    snapshot.record.zone = self.zone;
    snapshot.record.url = QUrl(QStringLiteral("http://127.0.0.1:%1").arg(port));
    snapshot.record.route = route;
    snapshot.record.kind = kind;
    snapshot.record.maxSequences = 16;
    snapshot.record.checksFencing = true;
    this->snapshots.push_back(snapshot);
}

void DispatcherFixture::adopt()
{
    this->dispatcher.adoptReplicas(std::make_shared<ReplicaSet>(this->snapshots));
}

ReplicaSnapshot &DispatcherFixture::replica(const QString &name)
{
    const auto found = std::find_if(
            this->snapshots.begin(), this->snapshots.end(),
            [&name](const ReplicaSnapshot &replica) { return replica.record.name == name; });
    cr_assert(found != this->snapshots.end());
    return *found;
}

DispatchRequest DispatcherFixture::chat(const QString &requestId, const QString &text,
                                        const QString &program)
{
    const QJsonObject message{{QStringLiteral("role"), QStringLiteral("user")},
                              {QStringLiteral("content"), text}};
    DispatchRequest request;
    request.team = QStringLiteral("team");
    request.program = program;
    request.rootProgram = program;
    request.maxOutputTokens = 16;
    request.route = QStringLiteral("chat");
    request.requestId = requestId;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = QJsonDocument(QJsonObject{{QStringLiteral("messages"), QJsonArray{message}}})
                           .toJson(QJsonDocument::Compact);
    request.contentDigest = digestOf(request.body);
    return request;
}

DispatchRequest DispatcherFixture::booking(const QString &requestId)
{
    DispatchRequest request;
    request.team = QStringLiteral("team");
    request.route = QStringLiteral("book");
    request.idempotent = false;
    request.requestId = requestId;
    request.method = "POST";
    request.path = "/visits";
    request.body = "a truck visit";
    request.contentDigest = digestOf(requestId.toUtf8());
    return request;
}

ObservedCall &DispatcherFixture::dispatch(const DispatchRequest &request)
{
    this->calls.push_back(std::make_unique<ObservedCall>());
    ObservedCall *call = this->calls.back().get();
    DispatchListener listener;
    listener.started = [this, call](const QString &replica) {
        call->startedAt.push_back(replica);
        if (this->callStarted)
            this->callStarted();
    };
    listener.chunk = [call](const QByteArray &chunk) { call->chunks += chunk; };
    listener.finished = [call](const DispatchResult &result) {
        call->result = result;
        ++call->results;
    };
    listener.confirmOwnership = this->confirmOwnership;
    DispatchRequest decided = request;
    decided.decidedAt = this->loop.timers.now() - this->decisionAge;
    call->handle = this->dispatcher.dispatch(decided, std::move(listener));
    return *call;
}

const DispatchResult &DispatcherFixture::finish(const ObservedCall &call)
{
    this->loop.waitUntil([&call] { return call.result.has_value(); }, "a result");
    return *call.result;
}

} // namespace lacewingmux

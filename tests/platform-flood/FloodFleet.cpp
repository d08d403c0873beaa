#include "FloodFleet.h"

#include "deployment/EventLoopWait.h"
#include "deployment/ManagedProcess.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace lacewingmux::flood {

namespace {

using soak::VmProcess;

constexpr std::chrono::seconds readyBound{60};
constexpr int vmsPerRole = 3;
constexpr int zoneCount = 3;
constexpr int soundReplicas = 6;

QJsonObject route(const char *name, const char *type, const char *service, int timeout)
{
    const QString routeName = QLatin1String(name);
    return {{QStringLiteral("name"), routeName},
            {QStringLiteral("host"), QStringLiteral("flood.example")},
            {QStringLiteral("prefix"), u'/' + routeName + u'/'},
            {QStringLiteral("type"), QLatin1String(type)},
            {QStringLiteral("service"), QLatin1String(service)},
            {QStringLiteral("timeoutMs"), timeout},
            {QStringLiteral("targetLatencyMs"), 250},
            {QStringLiteral("priority"), 1},
            {QStringLiteral("attempts"), 2}};
}

QJsonArray routes()
{
    QJsonObject chat = route("chat", "stream", "model", 5000);
    chat.insert(QStringLiteral("sticky"), true);
    chat.insert(QStringLiteral("retain"), true);
    chat.insert(QStringLiteral("retentionS"), 60);
    QJsonObject ask = route("ask", "stream", "model", 5000);
    ask.insert(QStringLiteral("sticky"), true);
    ask.insert(QStringLiteral("resumable"), true);
    return {chat, ask, route("fetch", "safe", "model", 5000), route("look", "safe", "desk", 1500)};
}

QByteArray configuration()
{
    const QJsonObject model{
            {QStringLiteral("name"), QStringLiteral("model")},
            {QStringLiteral("engine"), QJsonObject{{QStringLiteral("tokensPerEvent"), 2}}}};
    const QJsonObject limits{{QStringLiteral("maxHeaderBytes"), 16384},
                             {QStringLiteral("maxBodyBytes"), 4194304},
                             {QStringLiteral("headerTimeoutMs"), 3000},
                             {QStringLiteral("idleTimeoutMs"), 15000}};
    return QJsonDocument(QJsonObject{{QStringLiteral("version"), 1},
                                     {QStringLiteral("limits"), limits},
                                     {QStringLiteral("routes"), routes()},
                                     {QStringLiteral("services"),
                                      QJsonArray{model, QJsonObject{{QStringLiteral("name"),
                                                                     QStringLiteral("desk")}}}}})
            .toJson(QJsonDocument::Compact);
}

} // namespace

FloodFleet::FloodFleet(FloodSettings floodSettings, const FloodKind &kind)
    : settings(std::move(floodSettings))
    , store(this->timers)
    , balancer(this->timers, this->settings.seed)
{
    for (int number = 0; number < this->settings.faultyReplicas; ++number)
        this->addReplica("model", number, kind);
    for (int number = 0; number < soundReplicas; ++number)
        this->addReplica("desk", number, std::nullopt);
}

FloodFleet::~FloodFleet() = default;

void FloodFleet::addReplica(const QByteArray &service, int number, std::optional<FloodKind> kind)
{
    this->replicas.push_back(std::make_unique<FloodReplica>(
            service + '-' + QByteArray::number(number), service,
            "zone-" + QByteArray::number(number % zoneCount), std::move(kind)));
}

void FloodFleet::start()
{
    const VmProcess::Surroundings surroundings{this->settings.binaryFolder, this->settings.folder,
                                               this->store.start(), false, memoryMegabytes};
    this->store.contents().put("op/config", configuration());
    for (const auto &replica : this->replicas)
        this->store.contents().put(replica->storeKey(), replica->storeEntry());
    for (int number = 0; number < vmsPerRole; ++number) {
        this->recordsVms.push_back(
                std::make_unique<VmProcess>(VmProcess::Role::Records, number, surroundings));
        this->recordsVms.back()->start();
        this->entryVms.push_back(
                std::make_unique<VmProcess>(VmProcess::Role::Front, number, surroundings));
        this->entryVms.back()->start();
        this->balancer.add(*this->entryVms.back());
    }
    if (!standin::waitUntil([this] { return this->balancer.areAllReady(); }, readyBound))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("the entry VMs did not become ready"));
}

} // namespace lacewingmux::flood

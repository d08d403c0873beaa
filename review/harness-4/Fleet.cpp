#include "Fleet.h"

#include "deployment/EventLoopWait.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QCoreApplication>
#include <QDateTime>
#include <QDir>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTcpSocket>

#include <utility>

namespace lacewingmux::review {

namespace {

constexpr int zoneCount = 3;
constexpr int replicasPerService = 2;
constexpr std::uint16_t readinessPort = 20001;
constexpr int frontMegabytes = 110; // as at cabinas-mux
constexpr int recordsMegabytes = 140;
constexpr std::chrono::seconds startBound{30};

QString endpoint(const QHostAddress &address, std::uint16_t port)
{
    return address.toString() + u':' + QString::number(port);
}

QString zoneOf(int number)
{
    return QStringLiteral("zone-%1").arg(number % zoneCount);
}

QJsonObject route(const char *name, const char *type, const char *service, bool keepsTurns)
{
    QJsonObject entry{{QStringLiteral("name"), QLatin1String(name)},
                      {QStringLiteral("host"), QStringLiteral("review.example")},
                      {QStringLiteral("prefix"), u'/' + QLatin1String(name) + u'/'},
                      {QStringLiteral("type"), QLatin1String(type)},
                      {QStringLiteral("service"), QLatin1String(service)},
                      {QStringLiteral("timeoutMs"), 5000},
                      {QStringLiteral("targetLatencyMs"), 250},
                      {QStringLiteral("priority"), 1},
                      {QStringLiteral("attempts"), 2}};
    if (keepsTurns) {
        entry.insert(QStringLiteral("sticky"), true);
        entry.insert(QStringLiteral("retain"), true);
        entry.insert(QStringLiteral("retentionS"), 60);
    }
    return entry;
}

QByteArray configuration()
{
    const QJsonObject model{
            {QStringLiteral("name"), QStringLiteral("model")},
            {QStringLiteral("engine"), QJsonObject{{QStringLiteral("tokensPerEvent"), 1}}}};
    const QJsonObject limits{{QStringLiteral("maxHeaderBytes"), 16384},
                             {QStringLiteral("maxBodyBytes"), 4194304},
                             {QStringLiteral("headerTimeoutMs"), 3000},
                             {QStringLiteral("idleTimeoutMs"), 5000}};
    const QJsonObject document{
            {QStringLiteral("version"), 1},
            {QStringLiteral("limits"), limits},
            {QStringLiteral("routes"), QJsonArray{route("turn", "stream", "model", true),
                                                  route("stream", "stream", "model", false),
                                                  route("once", "unsafe", "desk", false)}},
            {QStringLiteral("services"),
             QJsonArray{model, QJsonObject{{QStringLiteral("name"), QStringLiteral("desk")}}}}};
    return QJsonDocument(document).toJson(QJsonDocument::Compact);
}

} // namespace

Fleet::Fleet(QString daemonFolder, QString standinFolder)
    : daemons(std::move(daemonFolder))
    , standins(std::move(standinFolder))
    , store(timers)
{
    this->directory.setAutoRemove(!qEnvironmentVariableIsSet("KEEP_LOGS"));
}

Fleet::~Fleet() = default;

bool Fleet::start()
{
    this->storePort = this->store.start();
    this->store.contents().put("op/config", configuration());
    for (int number = 0; number < replicasPerService; ++number) {
        this->startReplica(QStringLiteral("model"), number);
        this->startReplica(QStringLiteral("desk"), number);
    }
    for (int number = 0; number < recordsVmCount; ++number) {
        this->writeSettings(Role::Records, number, true);
        this->recordsVms.push_back(this->makeDaemon(Role::Records, number));
        this->recordsVms.back()->start();
    }
    for (int number = 0; number < entryVmCount; ++number) {
        this->writeSettings(Role::Front, number, true);
        this->entryVms.push_back(this->makeDaemon(Role::Front, number));
        this->entryVms.back()->start();
    }
    for (int number = 0; number < entryVmCount; ++number) {
        const bool ready =
                standin::waitUntil([this, number] { return this->isReady(number); }, startBound);
        if (!ready)
            return false;
    }
    return true;
}

void Fleet::killRecordsVm(int number)
{
    this->recordsVms[static_cast<std::size_t>(number)]->kill();
    this->killedSince[number].start();
}

bool Fleet::killAgainWhenDue(int number)
{
    if (!this->killedSince[number].hasExpired(killTime.count()))
        return false;
    this->startRecordsVm(number, false);
    this->killRecordsVm(number);
    return true;
}

void Fleet::startRecordsVm(int number, bool hasLostDisk)
{
    if (hasLostDisk)
        QDir(this->folder() + u'/' + nameOf(Role::Records, number) + QStringLiteral(".data"))
                .removeRecursively();
    this->writeSettings(Role::Records, number, false);
    this->recordsVms[static_cast<std::size_t>(number)]->start();
}

int Fleet::addRecordsVm()
{
    const int number = static_cast<int>(this->recordsVms.size());
    this->writeSettings(Role::Records, number, false);
    this->recordsVms.push_back(this->makeDaemon(Role::Records, number));
    this->recordsVms.back()->start();
    return number;
}

void Fleet::retireRecordsVm(int number, std::chrono::seconds duration)
{
    this->store.contents().put("op/retire/" + nameOf(Role::Records, number).toUtf8(),
                               R"({"durationS":)" + QByteArray::number(qint64{duration.count()})
                                       + '}');
}

bool Fleet::isRetired(int number) const
{
    const auto status =
            this->store.contents().item("status/retire/" + nameOf(Role::Records, number).toUtf8());
    const QByteArray value = QByteArray::fromBase64(
            status.body.value(QStringLiteral("value")).toString().toLatin1());
    return QJsonDocument::fromJson(value).object().value(QStringLiteral("state"))
           == QStringLiteral("done");
}

void Fleet::killEntryVm(int number)
{
    this->entryVms[static_cast<std::size_t>(number)]->kill();
}

void Fleet::startEntryVm(int number)
{
    this->writeSettings(Role::Front, number, false);
    this->entryVms[static_cast<std::size_t>(number)]->start();
}

QHostAddress Fleet::entryAddress(int number) const
{
    return addressOf(Role::Front, number);
}

bool Fleet::isReady(int number) const
{
    QTcpSocket socket;
    socket.connectToHost(addressOf(Role::Front, number), readinessPort);
    QByteArray answer;
    const bool connected = standin::waitUntil(
            [&socket] { return socket.state() == QAbstractSocket::ConnectedState; },
            std::chrono::milliseconds(300));
    if (!connected)
        return false;
    socket.write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    const bool answered = standin::waitUntil(
            [&socket, &answer] {
                answer += socket.readAll();
                return answer.contains("\r\n\r\n");
            },
            std::chrono::milliseconds(500));
    return answered && answer.startsWith("HTTP/1.1 200");
}

QStringList Fleet::replicaRuns() const
{
    QStringList lines;
    const QDir runFolder(this->folder());
    for (const QString &name : runFolder.entryList({QStringLiteral("*.runs")}, QDir::Files)) {
        QFile file(runFolder.filePath(name));
        if (!file.open(QIODevice::ReadOnly))
            continue;
        for (const QByteArray &line : file.readAll().split('\n')) {
            if (!line.isEmpty())
                lines.push_back(name + u' ' + QString::fromUtf8(line));
        }
    }
    return lines;
}

QString Fleet::folder() const
{
    return this->directory.path();
}

QHostAddress Fleet::addressOf(Role role, int number)
{
    // Each run has a network of its own within 127.0.0.0/8.
    constexpr quint32 loopbackNetwork = 127U << 24U;
    constexpr quint32 processBits = 0xffff;
    const auto process = static_cast<quint32>(QCoreApplication::applicationPid()) & processBits;
    const quint32 host = static_cast<quint32>(number) + (role == Role::Front ? 1 : 101);
    return QHostAddress(loopbackNetwork + (process << 8U) + host);
}

QString Fleet::nameOf(Role role, int number)
{
    return (role == Role::Front ? QStringLiteral("front-%1") : QStringLiteral("records-%1"))
            .arg(number);
}

std::unique_ptr<standin::ManagedProcess> Fleet::makeDaemon(Role role, int number) const
{
    const QString path = this->folder() + u'/' + nameOf(role, number);
    const QString roleName =
            role == Role::Front ? QStringLiteral("front") : QStringLiteral("records");
    auto daemon = std::make_unique<standin::ManagedProcess>(
            this->daemons + QStringLiteral("/lacewingmuxd"),
            QStringList{QStringLiteral("--platform-role=") + roleName},
            path + QStringLiteral(".errors"));
    daemon->setEnvironmentVariable(QStringLiteral("LACEWINGMUX_BOOT"),
                                   path + QStringLiteral(".json"));
    daemon->setOutputFile(path + QStringLiteral(".log"));
    return daemon;
}

void Fleet::writeSettings(Role role, int number, bool isFirstStart) const
{
    const QString path = this->folder() + u'/' + nameOf(role, number);
    const QHostAddress address = addressOf(role, number);
    QJsonObject listeners;
    if (role == Role::Front)
        listeners = {{QStringLiteral("front"), endpoint(address, ingressPort)},
                     {QStringLiteral("readiness"), endpoint(address, readinessPort)}};
    QJsonObject settings{
            {QStringLiteral("nodeName"), nameOf(role, number)},
            {QStringLiteral("zone"), zoneOf(number)},
            {QStringLiteral("ip"), address.toString()},
            {QStringLiteral("listen"), listeners},
            {QStringLiteral("internalPortRange"), QJsonArray{20010, 20025}},
            {QStringLiteral("bootstrap"), isFirstStart},
            {QStringLiteral("inFaultBudget"), role == Role::Records},
            {QStringLiteral("limits"),
             QJsonObject{{QStringLiteral("maxFds"), 4100},
                         {QStringLiteral("memoryMb"),
                          role == Role::Front ? frontMegabytes : recordsMegabytes}}},
            {QStringLiteral("faultTolerance"),
             QJsonObject{{QStringLiteral("machines"), 1}, {QStringLiteral("zones"), 1}}},
            {QStringLiteral("bounds"),
             QJsonObject{{QStringLiteral("graceS"), 8}, {QStringLiteral("drainMs"), 2000}}},
            {QStringLiteral("provider"),
             QJsonObject{{QStringLiteral("address"),
                          endpoint(QHostAddress(QHostAddress::LocalHost), this->storePort)}}}};
    if (role == Role::Records) {
        QDir().mkpath(path + QStringLiteral(".data"));
        settings.insert(QStringLiteral("dataDir"), path + QStringLiteral(".data"));
    }
    QFile file(path + QStringLiteral(".json"));
    const QByteArray text = QJsonDocument(settings).toJson();
    if (!file.open(QIODevice::WriteOnly) || file.write(text) != text.size())
        throw LacewingmuxError(ErrorKind::InternalError, QStringLiteral("can't write settings"));
}

void Fleet::startReplica(const QString &service, int number)
{
    const QString id = QStringLiteral("%1-%2").arg(service).arg(number);
    auto replica = std::make_unique<standin::ManagedProcess>(
            this->standins + QStringLiteral("/lacewingmux-standin-platform-replica"),
            QStringList{QStringLiteral("--id"), id, QStringLiteral("--log"),
                        this->folder() + u'/' + id + QStringLiteral(".runs")},
            this->folder() + u'/' + id + QStringLiteral(".errors"));
    replica->start();
    const int port = replica->waitForAnnouncement(startBound).value(QStringLiteral("port")).toInt();
    const QJsonObject entry{{QStringLiteral("service"), service},
                            {QStringLiteral("address"), QStringLiteral("127.0.0.1:%1").arg(port)},
                            {QStringLiteral("zone"), zoneOf(number)},
                            {QStringLiteral("version"), 1},
                            {QStringLiteral("slots"), 64},
                            {QStringLiteral("state"), QStringLiteral("ready")},
                            {QStringLiteral("coldRemainingMs"), 0},
                            {QStringLiteral("callSeq"), 0},
                            {QStringLiteral("born"), QDateTime::currentMSecsSinceEpoch()}};
    this->store.contents().put("servers/" + id.toUtf8(),
                               QJsonDocument(entry).toJson(QJsonDocument::Compact));
    this->replicas.push_back(std::move(replica));
}

} // namespace lacewingmux::review

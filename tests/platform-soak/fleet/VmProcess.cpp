#include "fleet/VmProcess.h"

#include "deployment/ManagedProcess.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QCoreApplication>
#include <QDir>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace lacewingmux::soak {

namespace {

constexpr int zoneCount = 3;

/** Returns a loopback address that no other VM of this machine's runs has. */
QHostAddress addressOf(VmProcess::Role role, int number)
{
    constexpr quint32 loopbackNetwork = 127U << 24U;
    constexpr quint32 processBits = 0xffff;
    const auto process = static_cast<quint32>(QCoreApplication::applicationPid()) & processBits;
    const quint32 host = static_cast<quint32>(number) + (role == VmProcess::Role::Front ? 1 : 101);
    return QHostAddress(loopbackNetwork + (process << 8U) + host);
}

QString endpoint(const QHostAddress &address, std::uint16_t port)
{
    return address.toString() + u':' + QString::number(port);
}

} // namespace

VmProcess::VmProcess(Role daemonRole, int number, Surroundings vmSurroundings)
    : role(daemonRole)
    , vm((daemonRole == Role::Front ? "front-" : "records-") + QByteArray::number(number))
    , zone("zone-" + QByteArray::number(number % zoneCount))
    , ownAddress(addressOf(daemonRole, number))
    , surroundings(std::move(vmSurroundings))
{
    const QString roleName =
            this->role == Role::Front ? QStringLiteral("front") : QStringLiteral("records");
    this->daemon = std::make_unique<standin::ManagedProcess>(
            this->surroundings.daemonFolder + QStringLiteral("/lacewingmuxd"),
            QStringList{QStringLiteral("--platform-role=") + roleName}, this->path(".errors"));
    this->daemon->setEnvironmentVariable(QStringLiteral("LACEWINGMUX_BOOT"), this->path(".json"));
    this->daemon->setOutputFile(this->logFile());
    if (this->role == Role::Front && this->surroundings.linksAreCut) {
        this->daemon->setEnvironmentVariable(QStringLiteral("LD_PRELOAD"),
                                             QStringLiteral(LACEWINGMUX_CUT_LINKS));
        this->daemon->setEnvironmentVariable(QStringLiteral("LACEWINGMUX_SOAK_CUTS"),
                                             this->cutsFile());
    }
}

VmProcess::~VmProcess() = default;

void VmProcess::start()
{
    this->writeSettings();
    this->wasStarted = true;
    this->daemon->start();
}

QString VmProcess::logFile() const
{
    return this->path(".log");
}

QString VmProcess::cutsFile() const
{
    return this->path(".cuts");
}

QString VmProcess::path(const char *suffix) const
{
    return this->surroundings.folder + u'/' + QString::fromLatin1(this->vm) + QLatin1String(suffix);
}

void VmProcess::writeSettings() const
{
    if (this->role == Role::Records)
        QDir().mkpath(this->path(".data"));
    QFile file(this->path(".json"));
    const QByteArray text = QJsonDocument(this->settings()).toJson();
    if (!file.open(QIODevice::WriteOnly) || file.write(text) != text.size())
        throw LacewingmuxError(ErrorKind::InternalError, QStringLiteral("can't write settings"));
}

QJsonObject VmProcess::settings() const
{
    const bool isFront = this->role == Role::Front;
    const QJsonObject listeners{
            {QStringLiteral("front"), endpoint(this->ownAddress, ingressPort)},
            {QStringLiteral("readiness"), endpoint(this->ownAddress, readinessPort)}};
    QJsonObject result{
            {QStringLiteral("nodeName"), QString::fromLatin1(this->vm)},
            {QStringLiteral("zone"), QString::fromLatin1(this->zone)},
            {QStringLiteral("ip"), this->ownAddress.toString()},
            {QStringLiteral("listen"), isFront ? listeners : QJsonObject()},
            {QStringLiteral("internalPortRange"), QJsonArray{20010, 20025}},
            {QStringLiteral("bootstrap"), !this->wasStarted},
            {QStringLiteral("limits"),
             QJsonObject{{QStringLiteral("maxFds"), 4100},
                         {QStringLiteral("memoryMb"), this->surroundings.memoryMegabytes}}},
            {QStringLiteral("faultTolerance"), QJsonObject{{QStringLiteral("machines"), 1}}},
            {QStringLiteral("bounds"),
             QJsonObject{{QStringLiteral("graceS"), 8}, {QStringLiteral("drainMs"), 2000}}},
            {QStringLiteral("provider"),
             QJsonObject{{QStringLiteral("address"), endpoint(QHostAddress(QHostAddress::LocalHost),
                                                              this->surroundings.storePort)}}}};
    if (!isFront)
        result.insert(QStringLiteral("dataDir"), this->path(".data"));
    return result;
}

} // namespace lacewingmux::soak

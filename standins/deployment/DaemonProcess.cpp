#include "deployment/DaemonProcess.h"

#include "deployment/BlockingHttp.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QCoreApplication>
#include <QDir>
#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>

namespace lacewingmux::standin {

namespace {

const QHostAddress loopback(QHostAddress::LocalHost);

// The same on every daemon, for each has an address of its own; below the system's own choices.
constexpr std::uint16_t callerPort = 20001;
constexpr std::uint16_t operatorPort = 20002;
constexpr std::uint16_t controlPort = 20003;
constexpr std::uint16_t trafficPort = 20004;

/** Returns a loopback address that no other daemon of this machine's deployments has. */
QHostAddress addressOfNumber(int number)
{
    constexpr quint32 loopbackNetwork = 127U << 24U;
    constexpr quint32 processBits = 0xffff;
    const auto process = static_cast<quint32>(QCoreApplication::applicationPid()) & processBits;
    return QHostAddress(loopbackNetwork + (process << 8U) + static_cast<quint32>(number) + 1);
}

void writeFile(const QString &path, const QByteArray &content)
{
    QFile file(path);
    if (!file.open(QIODevice::WriteOnly) || file.write(content) != content.size())
        throw LacewingmuxError(ErrorKind::InternalError, QStringLiteral("can't write ") + path);
}

} // namespace

DaemonProcess::DaemonProcess(const DeploymentPlan &deploymentPlan, const PlannedVm &plannedVm,
                             int number, const DeploymentSurroundings &deploymentSurroundings)
    : plan(deploymentPlan)
    , planned(plannedVm)
    , surroundings(deploymentSurroundings)
    , ownAddress(addressOfNumber(number))
    , toControl(std::make_unique<TcpRelay>(this->ownAddress, controlPort))
    , toTraffic(std::make_unique<TcpRelay>(this->ownAddress, trafficPort))
    , toStore(std::make_unique<TcpRelay>(loopback, this->surroundings.storePort))
{ }

DaemonProcess::~DaemonProcess() = default;

void DaemonProcess::start(const QJsonArray &seeds)
{
    const QString base = this->surroundings.folder + u'/' + this->planned.vm;
    const QString settingsFile = base + QStringLiteral(".json");
    if (this->planned.hasDataFolder)
        QDir().mkpath(base + QStringLiteral(".data"));
    writeFile(settingsFile, QJsonDocument(this->settings(seeds)).toJson());
    this->managed = std::make_unique<ManagedProcess>(
            this->plan.binaryFolder + QStringLiteral("/lacewingmuxd"),
            QStringList{QStringLiteral("--config"), settingsFile}, base + QStringLiteral(".log"));
    this->managed->start();
}

QUrl DaemonProcess::callers() const
{
    return this->url(callerPort, QString());
}

QUrl DaemonProcess::operators() const
{
    return this->url(operatorPort, QString());
}

QUrl DaemonProcess::url(std::uint16_t port, const QString &path) const
{
    QUrl result = loopbackUrl(port, path);
    result.setHost(this->ownAddress.toString());
    return result;
}

QJsonObject DaemonProcess::asSeed() const
{
    return QJsonObject{{QStringLiteral("address"), loopback.toString()},
                       {QStringLiteral("controlPort"), this->toControl->port()}};
}

void DaemonProcess::cutSources(const std::function<bool(const QHostAddress &source)> &isCutSource)
{
    for (TcpRelay *relay : {this->toControl.get(), this->toTraffic.get()}) {
        if (isCutSource)
            relay->cutSources(isCutSource);
        else
            relay->mend();
    }
}

bool DaemonProcess::isReady() const
{
    return getAndWait(this->url(callerPort, QStringLiteral("/readyz"))).status == 200;
}

QJsonObject DaemonProcess::settings(const QJsonArray &seeds) const
{
    const auto listener = [this](std::uint16_t port) {
        return QJsonObject{{QStringLiteral("address"), this->ownAddress.toString()},
                           {QStringLiteral("port"), port}};
    };
    const QJsonObject advertised{{QStringLiteral("address"), loopback.toString()},
                                 {QStringLiteral("controlPort"), this->toControl->port()},
                                 {QStringLiteral("trafficPort"), this->toTraffic->port()}};
    const QJsonObject peers{
            {QStringLiteral("address"), this->ownAddress.toString()},
            {QStringLiteral("controlPort"), controlPort},
            {QStringLiteral("trafficPort"), trafficPort},
            {QStringLiteral("advertised"), advertised},
            {QStringLiteral("seeds"), seeds},
            {QStringLiteral("sharedSecretFile"), this->surroundings.sharedSecretFile}};
    const QString storeUrl = loopbackUrl(this->toStore->port(), QString()).toString();
    QJsonObject result{
            {QStringLiteral("vm"), this->planned.vm},
            {QStringLiteral("zone"), this->planned.zone},
            {QStringLiteral("fleet"), QStringLiteral("local")},
            {QStringLiteral("zones"), QJsonArray::fromStringList(this->surroundings.zones)},
            {QStringLiteral("callers"), listener(callerPort)},
            {QStringLiteral("operators"), listener(operatorPort)},
            {QStringLiteral("peers"), peers},
            {QStringLiteral("store"),
             QJsonObject{{QStringLiteral("endpoints"), QJsonArray{storeUrl}}}},
            {QStringLiteral("membership"),
             QJsonObject{{QStringLiteral("heartbeatIntervalMs"),
                          static_cast<qint64>(this->plan.heartbeatInterval.count())},
                         {QStringLiteral("failureTimeoutMs"),
                          static_cast<qint64>(this->plan.failureTimeout.count())}}},
            {QStringLiteral("stop"), QJsonObject{{QStringLiteral("balancerDelayMs"), 2000}}}};
    if (this->planned.hasDataFolder)
        result.insert(QStringLiteral("dataFolder"), this->surroundings.folder + u'/'
                                                            + this->planned.vm
                                                            + QStringLiteral(".data"));
    return result;
}

} // namespace lacewingmux::standin

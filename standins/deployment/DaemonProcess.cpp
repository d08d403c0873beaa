#include "deployment/DaemonProcess.h"

#include "deployment/BlockingHttp.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QDir>
#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpServer>

namespace lacewingmux::standin {

namespace {

const QHostAddress loopback(QHostAddress::LocalHost);

std::uint16_t freePort(const QHostAddress &address)
{
    QTcpServer server;
    if (!server.listen(address))
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("no free port on ") + address.toString());
    return server.serverPort();
}

QHostAddress addressOfNumber(int number)
{
    return QHostAddress(QStringLiteral("127.0.1.%1").arg(number + 1));
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
    , callerPort(freePort(loopback))
    , operatorPort(freePort(loopback))
    , controlPort(freePort(this->ownAddress))
    , trafficPort(freePort(this->ownAddress))
    , toControl(std::make_unique<TcpRelay>(this->ownAddress, this->controlPort))
    , toTraffic(std::make_unique<TcpRelay>(this->ownAddress, this->trafficPort))
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
    return loopbackUrl(this->callerPort, QString());
}

QUrl DaemonProcess::operators() const
{
    return loopbackUrl(this->operatorPort, QString());
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
    return getAndWait(loopbackUrl(this->callerPort, QStringLiteral("/readyz"))).status == 200;
}

QJsonObject DaemonProcess::settings(const QJsonArray &seeds) const
{
    const auto listener = [](std::uint16_t port) {
        return QJsonObject{{QStringLiteral("address"), loopback.toString()},
                           {QStringLiteral("port"), port}};
    };
    const QJsonObject advertised{{QStringLiteral("address"), loopback.toString()},
                                 {QStringLiteral("controlPort"), this->toControl->port()},
                                 {QStringLiteral("trafficPort"), this->toTraffic->port()}};
    const QJsonObject peers{
            {QStringLiteral("address"), this->ownAddress.toString()},
            {QStringLiteral("controlPort"), this->controlPort},
            {QStringLiteral("trafficPort"), this->trafficPort},
            {QStringLiteral("advertised"), advertised},
            {QStringLiteral("seeds"), seeds},
            {QStringLiteral("sharedSecretFile"), this->surroundings.sharedSecretFile}};
    const QString storeUrl = loopbackUrl(this->toStore->port(), QString()).toString();
    QJsonObject result{
            {QStringLiteral("vm"), this->planned.vm},
            {QStringLiteral("zone"), this->planned.zone},
            {QStringLiteral("fleet"), QStringLiteral("local")},
            {QStringLiteral("zones"), QJsonArray::fromStringList(this->surroundings.zones)},
            {QStringLiteral("callers"), listener(this->callerPort)},
            {QStringLiteral("operators"), listener(this->operatorPort)},
            {QStringLiteral("peers"), peers},
            {QStringLiteral("store"),
             QJsonObject{{QStringLiteral("endpoints"), QJsonArray{storeUrl}}}},
            {QStringLiteral("membership"),
             QJsonObject{{QStringLiteral("heartbeatIntervalMs"),
                          static_cast<qint64>(this->plan.heartbeatInterval.count())},
                         {QStringLiteral("failureTimeoutMs"),
                          static_cast<qint64>(this->plan.failureTimeout.count())}}},
            {QStringLiteral("stop"), QJsonObject{{QStringLiteral("balancerDelayMs"), 200}}}};
    if (this->planned.hasDataFolder)
        result.insert(QStringLiteral("dataFolder"), this->surroundings.folder + u'/'
                                                            + this->planned.vm
                                                            + QStringLiteral(".data"));
    return result;
}

} // namespace lacewingmux::standin

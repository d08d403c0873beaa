#include "fleet/ReplicaProcess.h"

#include "deployment/ManagedProcess.h"

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace lacewingmux::soak {

namespace {

constexpr std::chrono::seconds startBound{20};
constexpr int slotCount = 64;

} // namespace

ReplicaProcess::ReplicaProcess(QByteArray replicaId, QByteArray replicaZone,
                               SoakPlan::ReplicaLimits limits, const QString &binaryFolder,
                               const QString &folder, std::uint32_t seed)
    : id(std::move(replicaId))
    , zone(std::move(replicaZone))
    , replicaLimits(std::move(limits))
{
    const QString name = QString::fromLatin1(this->id);
    QStringList arguments{QStringLiteral("--id"),
                          name,
                          QStringLiteral("--log"),
                          folder + u'/' + name + QStringLiteral(".runs"),
                          QStringLiteral("--backlog"),
                          QString::number(this->replicaLimits.backlog),
                          QStringLiteral("--max-connections"),
                          QString::number(this->replicaLimits.connectionLimit),
                          QStringLiteral("--idle-ms"),
                          QString::number(this->replicaLimits.idleTimeout.count())};
    if (this->replicaLimits.closesAtDeadline)
        arguments.append(QStringLiteral("--close-at-deadline"));
    if (this->replicaLimits.stutterPercent > 0)
        arguments += {QStringLiteral("--stutter-while"),
                      stutterFile(folder, this->service()),
                      QStringLiteral("--stutter-percent"),
                      QString::number(this->replicaLimits.stutterPercent),
                      QStringLiteral("--stutter-seed"),
                      QString::number(seed)};
    this->managed = std::make_unique<standin::ManagedProcess>(
            binaryFolder + QStringLiteral("/lacewingmux-standin-platform-replica"), arguments,
            folder + u'/' + name + QStringLiteral(".errors"));
}

ReplicaProcess::~ReplicaProcess() = default;

QString ReplicaProcess::stutterFile(const QString &folder, const QByteArray &service)
{
    return folder + u'/' + QString::fromLatin1(service) + QStringLiteral(".stutters");
}

void ReplicaProcess::start()
{
    this->startMilliseconds = QDateTime::currentMSecsSinceEpoch();
    this->managed->start();
    this->port = static_cast<std::uint16_t>(
            this->managed->waitForAnnouncement(startBound).value(QStringLiteral("port")).toInt());
}

QByteArray ReplicaProcess::storeKey() const
{
    return "servers/" + this->id;
}

QByteArray ReplicaProcess::storeEntry(bool isDraining) const
{
    return QJsonDocument(
                   QJsonObject{{QStringLiteral("service"), QString::fromLatin1(this->service())},
                               {QStringLiteral("address"),
                                QStringLiteral("127.0.0.1:%1").arg(this->port)},
                               {QStringLiteral("zone"), QString::fromLatin1(this->zone)},
                               {QStringLiteral("version"), 1},
                               {QStringLiteral("slots"), slotCount},
                               {QStringLiteral("state"),
                                isDraining ? QStringLiteral("draining") : QStringLiteral("ready")},
                               {QStringLiteral("coldRemainingMs"), 0},
                               {QStringLiteral("callSeq"), 0},
                               {QStringLiteral("born"), this->startMilliseconds}})
            .toJson(QJsonDocument::Compact);
}

} // namespace lacewingmux::soak

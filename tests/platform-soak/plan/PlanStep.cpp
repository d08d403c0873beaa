#include "plan/PlanStep.h"

namespace lacewingmux::soak {

namespace {

QString nameOf(Change change)
{
    constexpr const char *names[]{"idle", "timeout", "route"};
    return QLatin1String(names[static_cast<int>(change)]);
}

} // namespace

QString PlanStep::text() const
{
    const QString time = QString::number(static_cast<double>(this->at.count()) / 1000.0, 'f', 2);
    const QString serviceName = QString::fromLatin1(this->service);
    switch (this->kind) {
    case StepKind::Silence:
        return QStringLiteral("%1 s: %2 replicas of %3 are silent for %4 ms")
                .arg(time,
                     this->allReplicas ? QStringLiteral("all") : QStringLiteral("half of the"),
                     serviceName)
                .arg(this->duration.count());
    case StepKind::Configure:
        return QStringLiteral("%1 s: a version changes %2").arg(time, nameOf(this->change));
    case StepKind::Leave:
        return QStringLiteral("%1 s: a replica of %2 leaves, %3")
                .arg(time, serviceName,
                     this->isAnnounced ? QStringLiteral("draining")
                                       : QStringLiteral("unannounced"));
    case StepKind::StopVm:
        return QStringLiteral("%1 s: planned stop of entry VM %2").arg(time).arg(this->vm);
    case StepKind::PauseVm:
        return QStringLiteral("%1 s: entry VM %2 is paused for %3 ms")
                .arg(time)
                .arg(this->vm)
                .arg(this->duration.count());
    case StepKind::Stutter:
        return QStringLiteral("%1 s: replicas of %2 stutter for %3 ms")
                .arg(time, serviceName)
                .arg(this->duration.count());
    case StepKind::CutLinks:
        return QStringLiteral(
                       "%1 s: links between entry VM %2 and %3 replicas of %4 are cut for %5 ms")
                .arg(time)
                .arg(this->vm)
                .arg(this->allReplicas ? QStringLiteral("all") : QStringLiteral("half of the"),
                     serviceName)
                .arg(this->duration.count());
    }
    return {};
}

} // namespace lacewingmux::soak

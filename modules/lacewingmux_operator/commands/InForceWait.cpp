#include "lacewingmux_operator/commands/InForceWait.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_operator/client/Awaited.h"
#include "lacewingmux_operator/commands/CommandContext.h"

#include <QJsonObject>

namespace lacewingmux {

namespace {

constexpr std::chrono::milliseconds askInterval{300};

void pause(CommandContext &context)
{
    Awaited<bool> elapsed;
    const TimerSubscription timer =
            context.timers().after(askInterval, [&elapsed] { elapsed.set(true); });
    static_cast<void>(elapsed.get());
}

/** Returns what a daemon knows of the zones; nothing while none answers. */
QJsonArray zonesNow(CommandContext &context)
{
    try {
        const QJsonObject status = context.daemons().get(QStringLiteral("/v1/operator/status"));
        return status.value(QLatin1String("zonesInForce")).toArray();
    } catch (const LacewingmuxError &error) {
        if (error.kind() != ErrorKind::OwnerUnavailable)
            throw;
        return {};
    }
}

} // namespace

ExitCode InForceWait::run(CommandContext &context, std::uint64_t revision)
{
    const auto deadline = context.timers().now() + context.options().waitTimeout;
    QJsonArray zones = zonesNow(context);
    while (zones.isEmpty() || !zonesWithout(zones, revision).isEmpty()) {
        if (context.timers().now() >= deadline)
            break;
        pause(context);
        zones = zonesNow(context);
    }
    const QStringList lacking = zonesWithout(zones, revision);
    if (context.options().json) {
        context.print(
                QJsonObject{{QStringLiteral("revision"), static_cast<qint64>(revision)},
                            {QStringLiteral("zonesInForce"), zones},
                            {QStringLiteral("zonesWithout"), QJsonArray::fromStringList(lacking)}});
    } else if (!zones.isEmpty() && lacking.isEmpty()) {
        context.print(QStringLiteral("revision %1 is in force in all %2 zones\n")
                              .arg(revision)
                              .arg(zones.size()));
    } else {
        context.print(QStringLiteral("revision %1 is accepted, but not yet in force in: %2\n")
                              .arg(revision)
                              .arg(zones.isEmpty() ? QStringLiteral("any zone, as no daemon knows "
                                                                    "of one")
                                                   : lacking.join(QStringLiteral(", "))));
    }
    return !zones.isEmpty() && lacking.isEmpty() ? ExitCode::Success : ExitCode::NotInForce;
}

QStringList InForceWait::zonesWithout(const QJsonArray &zones, std::uint64_t revision)
{
    QStringList lacking;
    for (const QJsonValue entry : zones) {
        const QJsonObject zone = entry.toObject();
        const auto inForce =
                static_cast<std::uint64_t>(zone.value(QLatin1String("configuration")).toInteger());
        if (inForce < revision)
            lacking.append(zone.value(QLatin1String("zone")).toString());
    }
    return lacking;
}

} // namespace lacewingmux

#include "lacewingmux_operator/commands/KeyCommands.h"

#include "lacewingmux_config/keys/KeyRegister.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_operator/client/Awaited.h"
#include "lacewingmux_operator/commands/CommandContext.h"
#include "lacewingmux_operator/rendering/TextTable.h"

#include <QDateTime>
#include <QJsonArray>

namespace lacewingmux {

namespace {

/** The text of a new key and what may have gone wrong on the way. */
struct Issued
{
    std::optional<LacewingmuxError> error;
    KeyText key;
};

QString timeText(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return QDateTime::fromMSecsSinceEpoch(sinceEpoch.count(), Qt::UTC).toString(Qt::ISODate);
}

QJsonObject keyJson(const KeyRecord &key)
{
    QJsonObject object{{QStringLiteral("keyId"), key.keyId},
                       {QStringLiteral("team"), key.team},
                       {QStringLiteral("issued"), timeText(key.issued)}};
    object.insert(QStringLiteral("withdrawn"),
                  key.withdrawn ? timeText(*key.withdrawn) : QString());
    return object;
}

} // namespace

ExitCode KeyCommands::issue(CommandContext &context)
{
    if (context.options().team.isEmpty())
        throw LacewingmuxError(ErrorKind::MalformedRequest, QStringLiteral("--team is missing"));
    Awaited<Issued> answer;
    KeyRegister keys(context.store());
    keys.issue(context.options().team, context.timers().wallNow(),
               [&answer](const auto &error, const KeyText &key) {
                   answer.set(Issued{error, key});
               });
    const Issued issued = answer.get();
    if (issued.error && issued.error->kind() == ErrorKind::StoreResultUnknown)
        context.note(QStringLiteral("key %1 may have been issued; look for it with key list, and "
                                    "withdraw it if you don't use it")
                             .arg(issued.key.keyId));
    if (issued.error)
        throw *issued.error;
    const QString text = QString::fromLatin1(issued.key.toText());
    if (context.options().json)
        context.print(QJsonObject{{QStringLiteral("key"), text},
                                  {QStringLiteral("keyId"), issued.key.keyId},
                                  {QStringLiteral("team"), context.options().team}});
    else
        context.print(QStringLiteral("%1\n").arg(text));
    return ExitCode::Success;
}

ExitCode KeyCommands::withdraw(CommandContext &context)
{
    Awaited<std::optional<LacewingmuxError>> answer;
    KeyRegister keys(context.store());
    keys.withdraw(context.argument(), context.timers().wallNow(),
                  [&answer](auto error) { answer.set(std::move(error)); });
    const std::optional<LacewingmuxError> error = answer.get();
    if (error)
        throw *error;
    if (context.options().json)
        context.print(QJsonObject{{QStringLiteral("withdrawn"), context.argument()}});
    else
        context.print(QStringLiteral("key %1 is withdrawn\n").arg(context.argument()));
    return ExitCode::Success;
}

ExitCode KeyCommands::list(CommandContext &context)
{
    Awaited<std::optional<std::vector<KeyRecord>>> answer;
    KeyRegister keys(context.store());
    keys.list([&answer](auto records) { answer.set(std::move(records)); });
    const std::optional<std::vector<KeyRecord>> records = answer.get();
    if (!records)
        throw LacewingmuxError(ErrorKind::StoreUnavailable,
                               QStringLiteral("the platform's store does not answer"));
    QJsonArray entries;
    for (const KeyRecord &key : *records)
        entries.append(keyJson(key));
    if (context.options().json)
        context.print(QJsonObject{{QStringLiteral("keys"), entries}});
    else if (entries.isEmpty())
        context.note(QStringLiteral("there are no keys"));
    else
        context.print(TextTable::fromJson(entries).toString());
    return ExitCode::Success;
}

} // namespace lacewingmux

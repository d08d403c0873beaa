#include "lacewingmux_operator/commands/ConfigCommands.h"

#include "lacewingmux_config/documents/ConfigurationDocument.h"
#include "lacewingmux_config/records/ConfigurationRegister.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_operator/client/Awaited.h"
#include "lacewingmux_operator/commands/CommandContext.h"
#include "lacewingmux_operator/commands/CurrentRecord.h"
#include "lacewingmux_operator/commands/InForceWait.h"
#include "lacewingmux_operator/rendering/DocumentDifference.h"
#include "lacewingmux_operator/rendering/JsonPointer.h"

#include <QDateTime>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>

#include <cstdio>

namespace lacewingmux {

namespace {

QString timeText(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return QDateTime::fromMSecsSinceEpoch(sinceEpoch.count(), Qt::UTC).toString(Qt::ISODate);
}

QByteArray contentOf(const QString &path)
{
    QFile file(path);
    const bool opened = path == QLatin1String("-") ? file.open(stdin, QIODevice::ReadOnly)
                                                   : file.open(QIODevice::ReadOnly);
    if (!opened)
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                               QStringLiteral("%1: %2").arg(path, file.errorString()));
    return file.readAll();
}

/** Returns the document in the file, whole and with every default; throws with all faults. */
QJsonObject checkedFile(const QString &path)
{
    SettingsFindings findings;
    const Configuration configuration = ConfigurationDocument::read(contentOf(path), findings);
    if (!findings.faults.empty())
        throw LacewingmuxError(
                ErrorKind::ConfigurationInvalid,
                QStringLiteral("%1 has faults:\n%2").arg(path, findings.faultText()));
    return ConfigurationDocument::toJson(configuration);
}

/** Shows the record that a conflict is with, and what the refused document would change in it. */
void explainConflict(CommandContext &context, std::uint64_t expectedRevision,
                     const QJsonObject &document, const RevisionedRecord &current)
{
    const QStringList difference = documentDifference(current.document, document);
    if (context.options().json) {
        context.print(QJsonObject{
                {QStringLiteral("conflict"),
                 QJsonObject{
                         {QStringLiteral("expectedRevision"),
                          static_cast<qint64>(expectedRevision)},
                         {QStringLiteral("currentRevision"), static_cast<qint64>(current.revision)},
                         {QStringLiteral("author"), current.author},
                         {QStringLiteral("difference"), QJsonArray::fromStringList(difference)}}}});
        return;
    }
    context.note(QStringLiteral("conflict: your change is for revision %1, but revision %2 stands "
                                "(by %3 at %4).\nNothing was changed. From revision %2 to your "
                                "document:\n%5")
                         .arg(expectedRevision)
                         .arg(current.revision)
                         .arg(current.author, timeText(current.writtenAt), difference.join(u'\n')));
}

ExitCode applyDocument(CommandContext &context, std::uint64_t expectedRevision,
                       const QJsonObject &document)
{
    if (context.options().wait && context.options().operatorEndpoints.empty())
        throw LacewingmuxError(ErrorKind::MalformedRequest,
                               QStringLiteral("--wait needs --operator: the endpoint of a daemon"));
    Awaited<ConfigurationRegister::Result> answer;
    ConfigurationRegister configurations(context.store());
    configurations.apply(expectedRevision, document, context.author(), context.timers().wallNow(),
                         [&answer](const auto &applied) { answer.set(applied); });
    const ConfigurationRegister::Result result = answer.get();
    if (result.error && result.error->kind() == ErrorKind::ConfigurationConflict) {
        explainConflict(context, expectedRevision, document,
                        result.current.value_or(RevisionedRecord()));
    }
    if (result.error)
        throw *result.error;
    if (context.options().wait)
        return InForceWait::run(context, result.revision);
    if (context.options().json)
        context.print(
                QJsonObject{{QStringLiteral("revision"), static_cast<qint64>(result.revision)}});
    else
        context.print(QStringLiteral("revision %1 is accepted\n").arg(result.revision));
    return ExitCode::Success;
}

/** Returns the value of "/pointer=value": JSON, or else plain text. */
QJsonValue assignedValue(const QString &text)
{
    const QJsonDocument parsed = QJsonDocument::fromJson('[' + text.toUtf8() + ']');
    const QJsonArray array = parsed.array();
    return array.size() == 1 ? array.first() : QJsonValue(text);
}

QJsonObject editedDocument(const CommandOptions &options, const QJsonObject &document)
{
    QJsonValue edited = document;
    for (const QString &assignment : options.assignments) {
        const qsizetype equals = assignment.indexOf(u'=');
        const JsonPointer pointer(assignment.left(equals));
        edited = pointer.withValue(edited, assignedValue(assignment.mid(equals + 1)));
    }
    for (const QString &removal : options.removals)
        edited = JsonPointer(removal).without(edited);
    return edited.toObject();
}

} // namespace

ExitCode ConfigCommands::get(CommandContext &context)
{
    const RevisionedRecord record = currentRecord(context);
    if (context.options().json) {
        context.print(
                QJsonObject{{QStringLiteral("revision"), static_cast<qint64>(record.revision)},
                            {QStringLiteral("author"), record.author},
                            {QStringLiteral("writtenAt"), timeText(record.writtenAt)},
                            {QStringLiteral("document"), record.document}});
        return ExitCode::Success;
    }
    context.note(record.revision == 0 ? QStringLiteral("there is no configuration yet (revision 0)")
                                      : QStringLiteral("revision %1, by %2 at %3")
                                                .arg(record.revision)
                                                .arg(record.author, timeText(record.writtenAt)));
    context.print(record.document);
    return ExitCode::Success;
}

ExitCode ConfigCommands::check(CommandContext &context)
{
    const QJsonObject document = checkedFile(context.argument());
    if (context.options().json)
        context.print(QJsonObject{{QStringLiteral("faults"), QJsonArray()}});
    else
        context.print(QStringLiteral("%1 is sound: %2 teams, %3 plans, %4 routes\n")
                              .arg(context.argument())
                              .arg(document.value(QLatin1String("plans")).toArray().size())
                              .arg(document.value(QLatin1String("allowances")).toArray().size())
                              .arg(document.value(QLatin1String("routes")).toArray().size()));
    return ExitCode::Success;
}

ExitCode ConfigCommands::apply(CommandContext &context)
{
    if (!context.options().revision)
        throw LacewingmuxError(ErrorKind::MalformedRequest,
                               QStringLiteral("--revision is missing: the revision that your "
                                              "change is for, as config get shows it"));
    return applyDocument(context, *context.options().revision, checkedFile(context.argument()));
}

ExitCode ConfigCommands::edit(CommandContext &context)
{
    if (context.options().assignments.isEmpty() && context.options().removals.isEmpty())
        throw LacewingmuxError(ErrorKind::MalformedRequest,
                               QStringLiteral("config edit needs --set or --remove"));
    const RevisionedRecord record = currentRecord(context);
    const QJsonObject edited = editedDocument(context.options(), record.document);
    const QJsonObject document =
            ConfigurationDocument::toJson(ConfigurationDocument::parse(edited));
    for (const QString &line : documentDifference(record.document, document))
        context.note(line);
    return applyDocument(context, context.options().revision.value_or(record.revision), document);
}

} // namespace lacewingmux

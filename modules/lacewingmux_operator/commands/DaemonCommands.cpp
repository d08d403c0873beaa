#include "lacewingmux_operator/commands/DaemonCommands.h"

#include "lacewingmux_config/documents/ConfigurationDocument.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_operator/commands/CommandContext.h"
#include "lacewingmux_operator/commands/CurrentRecord.h"
#include "lacewingmux_operator/rendering/TextTable.h"
#include "lacewingmux_report/burn/BurnReport.h"

#include <QFile>
#include <QJsonArray>
#include <QUrl>

namespace lacewingmux {

namespace {

ExitCode show(CommandContext &context, const QJsonObject &answer)
{
    if (context.options().json)
        context.print(answer);
    else
        context.print(TextTable::describe(answer));
    return ExitCode::Success;
}

QString programPath(const QString &programId)
{
    return QStringLiteral("/v1/operator/programs/")
           + QString::fromLatin1(QUrl::toPercentEncoding(programId));
}

Configuration objectivesInStore(CommandContext &context)
{
    return ConfigurationDocument::parse(currentRecord(context).document);
}

void writePage(const QString &path, const QByteArray &page)
{
    QFile file(path);
    if (!file.open(QIODevice::WriteOnly) || file.write(page) != page.size())
        throw LacewingmuxError(ErrorKind::InternalError,
                               QStringLiteral("%1: %2").arg(path, file.errorString()));
}

} // namespace

ExitCode DaemonCommands::status(CommandContext &context)
{
    return show(context, context.daemons().get(QStringLiteral("/v1/operator/status")));
}

ExitCode DaemonCommands::showProgram(CommandContext &context)
{
    return show(context, context.daemons().get(programPath(context.argument())));
}

ExitCode DaemonCommands::endProgram(CommandContext &context)
{
    return show(context,
                context.daemons().post(programPath(context.argument()) + QStringLiteral("/end")));
}

ExitCode DaemonCommands::reportBurn(CommandContext &context)
{
    const Configuration configuration = objectivesInStore(context);
    const std::vector<QJsonObject> answers =
            context.daemons().getFromAll(QStringLiteral("/v1/operator/burn"));
    if (answers.empty())
        throw LacewingmuxError(ErrorKind::OwnerUnavailable,
                               QStringLiteral("no daemon answered at the --operator endpoints"));
    BurnReport report;
    for (const QJsonObject &answer : answers)
        report.add(answer.value(QLatin1String("counts")).toArray());
    const std::vector<BurnRow> rows = report.rows(configuration);
    if (!context.options().htmlFile.isEmpty())
        writePage(context.options().htmlFile, BurnReport::toHtml(rows));
    context.note(QStringLiteral("counts of %1 of %2 daemons")
                         .arg(answers.size())
                         .arg(context.options().operatorEndpoints.size()));
    if (context.options().json)
        context.print(BurnReport::toJson(rows));
    else
        context.print(BurnReport::toTable(rows));
    return ExitCode::Success;
}

} // namespace lacewingmux

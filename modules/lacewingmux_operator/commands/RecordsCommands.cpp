#include "lacewingmux_operator/commands/RecordsCommands.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"
#include "lacewingmux_operator/client/Awaited.h"
#include "lacewingmux_operator/commands/CommandContext.h"
#include "lacewingmux_records/members/RecordsMembership.h"

namespace lacewingmux {

namespace {

/** Returns the document of the view without the VM. Throws ConfigurationInvalid if the document is
   no view, or has no such VM. */
QByteArray documentWithoutLostVm(const QByteArray &document, const QString &vm)
{
    const std::optional<RecordsView> view = RecordsView::fromDocument(document);
    if (!view)
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                               QStringLiteral("the store has no readable view of the records VMs"));
    const std::optional<RecordsView> next = RecordsMembership::withoutLostVm(*view, vm);
    if (!next)
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                               QStringLiteral("the view has no records VM %1").arg(vm));
    return next->toDocument();
}

} // namespace

ExitCode RecordsCommands::declareLost(CommandContext &context)
{
    const QString vm = context.argument();
    Awaited<std::optional<LacewingmuxError>> answer;
    bool wasWritten = false;
    updateRecord(
            context.store(), recordsViewKey,
            [&vm, &wasWritten](const QByteArray &document) -> std::optional<QByteArray> {
                const std::optional<RecordsView> view = RecordsView::fromDocument(document);
                // The reply to an earlier write may have been lost.
                if (wasWritten && view && view->memberOnVm(vm) == nullptr)
                    return std::nullopt;
                wasWritten = true;
                return documentWithoutLostVm(document, vm);
            },
            [&answer](auto error) { answer.set(std::move(error)); });
    const std::optional<LacewingmuxError> error = answer.get();
    if (error)
        throw *error;
    if (context.options().json)
        context.print(QJsonObject{{QStringLiteral("lost"), vm}});
    else
        context.print(QStringLiteral("records VM %1 is declared lost\n").arg(vm));
    return ExitCode::Success;
}

} // namespace lacewingmux

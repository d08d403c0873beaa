#include "lacewingmux_operator/commands/OperatorCommand.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_operator/commands/CommandContext.h"
#include "lacewingmux_operator/commands/ConfigCommands.h"
#include "lacewingmux_operator/commands/DaemonCommands.h"
#include "lacewingmux_operator/commands/KeyCommands.h"
#include "lacewingmux_operator/commands/RecordsCommands.h"

#include <QJsonDocument>

#include <array>
#include <ostream>

namespace lacewingmux {

namespace {

/** One sub-command: its words, how many arguments follow, and what runs it. */
struct SubCommand
{
    const char *name;
    qsizetype arguments;
    ExitCode (*run)(CommandContext &context);
};

constexpr std::array<SubCommand, 12> subCommands{{{"config get", 0, ConfigCommands::get},
                                                  {"config check", 1, ConfigCommands::check},
                                                  {"config apply", 1, ConfigCommands::apply},
                                                  {"config edit", 0, ConfigCommands::edit},
                                                  {"key issue", 0, KeyCommands::issue},
                                                  {"key withdraw", 1, KeyCommands::withdraw},
                                                  {"key list", 0, KeyCommands::list},
                                                  {"records lost", 1, RecordsCommands::declareLost},
                                                  {"status", 0, DaemonCommands::status},
                                                  {"program show", 1, DaemonCommands::showProgram},
                                                  {"program end", 1, DaemonCommands::endProgram},
                                                  {"report burn", 0, DaemonCommands::reportBurn}}};

} // namespace

OperatorCommand::OperatorCommand(CommandOptions commandOptions, std::ostream &output,
                                 std::ostream &messages)
    : options(std::move(commandOptions))
    , out(output)
    , log(messages)
{ }

ExitCode OperatorCommand::run()
{
    try {
        return this->dispatch();
    } catch (const LacewingmuxError &error) {
        if (this->options.json)
            this->log << QJsonDocument(error.toJson()).toJson(QJsonDocument::Compact).toStdString()
                      << '\n';
        else
            this->log << "lacewingmuxctl: " << error.message().toStdString() << '\n';
        return exitCodeFor(error.kind());
    }
}

ExitCode OperatorCommand::dispatch()
{
    if (this->options.words == QStringList{QStringLiteral("help")}) {
        this->out << CommandOptions::helpText().toStdString();
        return ExitCode::Success;
    }
    for (const SubCommand &command : subCommands) {
        const QStringList words = QString::fromLatin1(command.name).split(u' ');
        if (this->options.words.mid(0, words.size()) != words)
            continue;
        if (this->options.words.size() != words.size() + command.arguments)
            throw LacewingmuxError(ErrorKind::MalformedRequest,
                                   QStringLiteral("%1 takes %2 argument(s)")
                                           .arg(QString::fromLatin1(command.name))
                                           .arg(command.arguments));
        CommandContext context(this->options, this->out, this->log);
        return command.run(context);
    }
    throw LacewingmuxError(ErrorKind::MalformedRequest,
                           QStringLiteral("unknown command \"%1\"; see --help")
                                   .arg(this->options.words.join(u' ')));
}

} // namespace lacewingmux

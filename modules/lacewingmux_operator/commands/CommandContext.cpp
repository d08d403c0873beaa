#include "lacewingmux_operator/commands/CommandContext.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonDocument>

#include <ostream>

namespace lacewingmux {

namespace {

constexpr double callsPerSecond = 50;
constexpr double burstCalls = 100;

} // namespace

CommandContext::CommandContext(const CommandOptions &parsedOptions, std::ostream &output,
                               std::ostream &messages)
    : commandOptions(parsedOptions)
    , out(output)
    , log(messages)
    , client(parsedOptions.operatorEndpoints, parsedOptions.token)
{ }

QString CommandContext::argument() const
{
    return this->commandOptions.words.last();
}

PlatformStore &CommandContext::store()
{
    if (this->commandOptions.storeEndpoints.empty())
        throw LacewingmuxError(ErrorKind::MalformedRequest,
                               QStringLiteral("--store is missing: the endpoint of the store"));
    if (!this->platformStore) {
        PlatformStoreSettings settings;
        settings.endpoints = this->commandOptions.storeEndpoints;
        settings.clientName = QStringLiteral("lacewingmuxctl");
        settings.callsPerSecond = callsPerSecond;
        settings.burstCalls = burstCalls;
        this->platformStore =
                std::make_unique<HttpPlatformStore>(this->timerService, this->metrics, settings);
    }
    return *this->platformStore;
}

QString CommandContext::author() const
{
    if (!this->commandOptions.author.isEmpty())
        return this->commandOptions.author;
    return qEnvironmentVariable("USER", QStringLiteral("unnamed"));
}

void CommandContext::print(const QString &text)
{
    this->out << text.toStdString();
}

void CommandContext::print(const QJsonObject &object)
{
    this->out << QJsonDocument(object).toJson().toStdString();
}

void CommandContext::note(const QString &text)
{
    this->log << text.toStdString() << '\n';
}

} // namespace lacewingmux

#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_keyvalue/client/HttpPlatformStore.h"
#include "lacewingmux_operator/client/OperatorClient.h"
#include "lacewingmux_operator/commands/CommandOptions.h"

#include <QJsonObject>
#include <QString>

#include <iosfwd>
#include <memory>

namespace lacewingmux {

/** What the sub-commands work with: the options, the store, the daemons and the two outputs. */
class CommandContext
{
public:
    CommandContext(const CommandOptions &commandOptions, std::ostream &output,
                   std::ostream &messages);
    CommandContext(const CommandContext &) = delete;
    CommandContext &operator=(const CommandContext &) = delete;

    [[nodiscard]] const CommandOptions &options() const noexcept
    {
        return this->commandOptions;
    }

    /** Returns the last word of the command line: the argument of the sub-command. */
    [[nodiscard]] QString argument() const;

    /** Returns the store. Throws MalformedRequest when no endpoint was named. */
    [[nodiscard]] PlatformStore &store();

    [[nodiscard]] OperatorClient &daemons() noexcept
    {
        return this->client;
    }
    [[nodiscard]] TimerService &timers() noexcept
    {
        return this->timerService;
    }

    /** Returns who makes the change: --author, or the name of the user of the terminal. */
    [[nodiscard]] QString author() const;

    /** Writes what was asked for. */
    void print(const QString &text);
    void print(const QJsonObject &object);

    /** Writes a line that is not part of what was asked for. */
    void note(const QString &text);

private:
    const CommandOptions &commandOptions;
    std::ostream &out;
    std::ostream &log;
    QtTimerService timerService;
    IgnoringMetricsRecorder metrics;
    std::unique_ptr<HttpPlatformStore> platformStore;
    OperatorClient client;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_operator/commands/CommandOptions.h"
#include "lacewingmux_operator/commands/ExitCode.h"

#include <iosfwd>

namespace lacewingmux {

/**
    Runs one command of lacewingmuxctl. What was asked for goes to the output, everything else to
    the messages. Needs a QCoreApplication.
*/
class OperatorCommand
{
public:
    OperatorCommand(CommandOptions commandOptions, std::ostream &output, std::ostream &messages);
    OperatorCommand(const OperatorCommand &) = delete;
    OperatorCommand &operator=(const OperatorCommand &) = delete;

    /** Runs the command to its end; errors are printed and become exit codes. */
    [[nodiscard]] ExitCode run();

private:
    [[nodiscard]] ExitCode dispatch();

    CommandOptions options;
    std::ostream &out;
    std::ostream &log;
};

} // namespace lacewingmux

#pragma once

#include "lacewingmux_operator/commands/ExitCode.h"

namespace lacewingmux {

class CommandContext;

/** The sub-commands that ask the daemons. Errors are thrown as LacewingmuxError. */
class DaemonCommands
{
public:
    /** Prints the views, replicas, shares and revisions that one daemon knows. */
    [[nodiscard]] static ExitCode status(CommandContext &context);

    /** Prints one program. */
    [[nodiscard]] static ExitCode showProgram(CommandContext &context);

    /** Ends one program and releases what it holds. */
    [[nodiscard]] static ExitCode endProgram(CommandContext &context);

    /** Merges the counts of all daemons into the report on service-level burn. */
    [[nodiscard]] static ExitCode reportBurn(CommandContext &context);
};

} // namespace lacewingmux
